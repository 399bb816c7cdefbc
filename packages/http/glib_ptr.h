// Owning smart pointers for the objects of GLib and libsoup.

#pragma once

#include <gio/gio.h>

#include <memory>

namespace hickorystand {

// Deleter that releases one reference to a GObject.
struct ObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

// Owns one reference to a GObject.
template <typename T>
using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

// Takes an additional reference to an object that has another owner.
template <typename T>
ObjectPtr<T> ShareObject(T* object) {
  return ObjectPtr<T>(static_cast<T*>(g_object_ref(object)));
}

// Deleter for a GError.
struct ErrorFree {
  void operator()(GError* error) const { g_error_free(error); }
};

using ErrorPtr = std::unique_ptr<GError, ErrorFree>;

// Deleter that releases one reference to a GBytes.
struct BytesUnref {
  void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};

using BytesPtr = std::unique_ptr<GBytes, BytesUnref>;

}  // namespace hickorystand
