// Owning pointers for what GLib, libsoup and json-glib hand out.

#pragma once

#include <gio/gio.h>

#include <memory>

namespace hickorystand {

// Drops one reference of a GObject.
struct ObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

// One reference of a GObject.
template <typename T>
using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

// Takes a further reference of an object that somebody else owns.
template <typename T>
ObjectPtr<T> ShareObject(T* object) {
  return ObjectPtr<T>(static_cast<T*>(g_object_ref(object)));
}

// Releases a GError.
struct ErrorFree {
  void operator()(GError* error) const { g_error_free(error); }
};

using ErrorPtr = std::unique_ptr<GError, ErrorFree>;

// Drops one reference of a GBytes.
struct BytesUnref {
  void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};

using BytesPtr = std::unique_ptr<GBytes, BytesUnref>;

}  // namespace hickorystand
