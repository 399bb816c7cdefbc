// The coordinator's access to the data centre's order record and usage windows:
// reads the intents of earlier holders and writes those of this tenure.

#include <algorithm>
#include <cassert>
#include <ranges>
#include <utility>

#include "decisions/coordinator.h"
#include "kernel/log.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "coordinator";
constexpr size_t kWindowsPerRead = 32;

}  // namespace

void Coordinator::Transact(Instant now,
                           StoreTransaction transaction,
                           Call::Handler handler,
                           CoordinatorActions& out) {
  assert(!this->call && "one transaction at a time on the record");
  this->call =
      Call{.tag = this->lease.NextTag(), .sent_at = now, .handler = handler};
  out.emplace_back(RunTransaction{.tag = this->call->tag,
                                  .transaction = std::move(transaction)});
}

// Retries a failed read after a delay. Without the delay, a store that refuses
// immediately would be called in a loop.
void Coordinator::RetryLater(Instant now, Step step) {
  this->retry = step;
  this->retry_at = now + this->options.write_every;
}

// The condition of every transaction: this tenure's lease record still exists.
// Without it a write that is delayed past the end of the lease would take
// effect.
StoreCompare Coordinator::LeaseHeldCondition() const {
  return {.key = LeaseKey(this->options.lease.data_centre),
          .field = StoreCompare::Field::kCreateRevision,
          .revision = this->fencing};
}

// Call after a transaction whose conditions failed. Returns whether the lease
// is still held; if it isn't, ends the tenure.
bool Coordinator::CheckLease(Instant now,
                             const StoreReply& reply,
                             CoordinatorActions& out) {
  const StoreRecord* record =
      FindRecord(reply, LeaseKey(this->options.lease.data_centre));
  if (record != nullptr && record->create_revision == this->fencing) {
    return true;
  }
  std::vector<LeaseAction> lease_actions;
  this->lease.EndTenure(now, lease_actions);
  this->ApplyLeaseActions(now, lease_actions, out);
  return false;
}

void Coordinator::ReadRecord(Instant now, CoordinatorActions& out) {
  const DataCentreId& data_centre = this->options.lease.data_centre;
  this->Transact(now,
                 {.conditions = {this->LeaseHeldCondition()},
                  .then = {StoreGet(OrderRecordKey(data_centre))},
                  .otherwise = {StoreGet(LeaseKey(data_centre))}},
                 &Coordinator::OnRecordRead, out);
}

void Coordinator::OnRecordRead(Instant now,
                               const StoreReply& reply,
                               CoordinatorActions& out) {
  if (reply.outcome == StoreOutcome::kThen) {
    this->LoadRecord(now, reply, out);
  } else if (reply.outcome != StoreOutcome::kOtherwise ||
             this->CheckLease(now, reply, out)) {
    this->RetryLater(now, &Coordinator::ReadRecord);
  }
}

// Loads the record from a reply. The stored content alone decides what counts
// as recorded: whether an own write whose reply was lost took effect, and what
// earlier holders started.
void Coordinator::LoadRecord(Instant now,
                             const StoreReply& reply,
                             CoordinatorActions& out) {
  const StoreRecord* record =
      FindRecord(reply, OrderRecordKey(this->options.lease.data_centre));
  this->stored_revision = record == nullptr ? 0 : record->mod_revision;
  Result<OrderRecord> content =
      DecodeOrderRecord(record == nullptr ? "" : record->value);
  if (!content) {
    LogError(kPart, "Order record can't be parsed; no orders are sent.",
             {{"cause", content.error().message}});
    return;
  }
  this->stored = *std::move(content);
  for (const Order& order : this->stored.orders) {
    if (!this->options.successor_waits && order.fencing != this->fencing) {
      continue;
    }
    OpenOrder& open =
        this->orders.try_emplace(order.id, OpenOrder{.order = order})
            .first->second;
    if (open.stage == Stage::kProposed && open.order == order) {
      open.stage = Stage::kRecorded;
    }
  }
  for (const OpenWindow& window : this->stored.windows) {
    OpenReport& open =
        this->reports.try_emplace(window.window, OpenReport{.open = window})
            .first->second;
    if (open.stage == Stage::kProposed && open.open == window) {
      open.stage = Stage::kRecorded;
    }
  }
  this->ReadWindows(now, out);
}

std::vector<int64_t> Coordinator::MissingWindows() const {
  std::vector<int64_t> missing;
  if (this->stored.last_window > this->last_window.window) {
    missing.push_back(this->stored.last_window);
  }
  for (const auto& [number, open] : this->reports) {
    if (!open.window && number != this->stored.last_window) {
      missing.push_back(number);
    }
  }
  return missing;
}

void Coordinator::ReadWindows(Instant now, CoordinatorActions& out) {
  const std::vector<int64_t> missing = this->MissingWindows();
  if (missing.empty()) {
    if (this->phase != Phase::kReady) {
      this->next_window = now + this->options.window_length;
    }
    this->phase = Phase::kReady;
    return;
  }
  this->phase = Phase::kReadingWindows;
  const DataCentreId& data_centre = this->options.lease.data_centre;
  StoreTransaction transaction{.conditions = {this->LeaseHeldCondition()},
                               .otherwise = {StoreGet(LeaseKey(data_centre))}};
  std::ranges::transform(missing | std::views::take(kWindowsPerRead),
                         std::back_inserter(transaction.then),
                         [&data_centre](int64_t number) {
                           return StoreGet(UsageWindowKey(data_centre, number));
                         });
  this->Transact(now, std::move(transaction), &Coordinator::OnWindowsRead, out);
}

void Coordinator::OnWindowsRead(Instant now,
                                const StoreReply& reply,
                                CoordinatorActions& out) {
  if (reply.outcome == StoreOutcome::kThen) {
    const std::vector<int64_t> missing = this->MissingWindows();
    std::ranges::for_each(
        missing | std::views::take(kWindowsPerRead),
        [this, &reply](int64_t number) { this->LoadWindow(number, reply); });
    this->ReadWindows(now, out);
  } else if (reply.outcome != StoreOutcome::kOtherwise ||
             this->CheckLease(now, reply, out)) {
    this->RetryLater(now, &Coordinator::ReadWindows);
  }
}

void Coordinator::LoadWindow(int64_t number, const StoreReply& reply) {
  const StoreRecord* record = FindRecord(
      reply, UsageWindowKey(this->options.lease.data_centre, number));
  Result<UsageWindow> window = record == nullptr
                                   ? Fail(ErrorKind::kNotFound, "not there")
                                   : DecodeUsageWindow(record->value);
  if (!window && this->options.window_written_once) {
    // The window was removed or damaged, so it is unknown how far the sources
    // were counted. All usage in the ledger counts as reported: billing too
    // little is better than billing twice.
    LogError(kPart, "Closed usage window is missing or damaged.",
             {{"window", std::to_string(number)},
              {"cause", window.error().message}});
    this->reports.erase(number);
  }
  if (!window) {
    window = CloseUsageWindow({}, this->ledger, number, this->fencing);
  }
  if (const auto open = this->reports.find(number);
      open != this->reports.end()) {
    open->second.window = *window;
  }
  if (number == this->stored.last_window) {
    this->last_window = *std::move(window);
  }
}

OrderRecord Coordinator::Content() const {
  OrderRecord content{.last_window = this->stored.last_window};
  for (const auto& [id, open] : this->orders) {
    if (open.stage != Stage::kFinished) {
      content.orders.push_back(open.order);
    }
  }
  for (const auto& [number, open] : this->reports) {
    if (open.stage != Stage::kFinished) {
      content.windows.push_back(open.open);
    }
  }
  return content;
}

void Coordinator::Write(Instant now, CoordinatorActions& out) {
  const DataCentreId& data_centre = this->options.lease.data_centre;
  const std::string key = OrderRecordKey(data_centre);
  OrderRecord content = this->Content();
  StoreTransaction transaction{
      .conditions = {this->LeaseHeldCondition(),
                     {.key = key,
                      .field = StoreCompare::Field::kModRevision,
                      .revision = this->stored_revision}},
      .otherwise = {StoreGet(LeaseKey(data_centre)), StoreGet(key)}};
  this->closing = {};
  if (now >= this->next_window && !this->stopping) {
    this->next_window = now + this->options.window_length;
    this->AddWindow(now, transaction, content);
  }
  if (content == this->stored) {
    return;
  }
  std::string text = EncodeOrderRecord(content);
  assert(std::ssize(text) <= this->options.max_record_bytes &&
         "limits on orders and windows keep the record below the limit");
  transaction.then.push_back(StorePut(key, std::move(text)));
  this->writing = std::move(content);
  this->next_write = now + this->options.write_every;
  this->Transact(now, std::move(transaction), &Coordinator::OnWritten, out);
}

// Closes the next usage window in the same transaction, unless there was no
// usage. The window's figures are created once and never overwritten.
void Coordinator::AddWindow(Instant now,
                            StoreTransaction& transaction,
                            OrderRecord& content) {
  if (std::ssize(content.windows) >= this->options.max_windows) {
    return;  // the platform accepts no reports; a later window has the usage
  }
  const int64_t number = this->stored.last_window + 1;
  std::vector<UsageSource> ending;
  for (const auto& [source, age] : this->ages) {
    if (this->SourceEnded(now, source)) {
      ending.push_back(source);
    }
  }
  UsageWindow window = CloseUsageWindow(this->last_window, this->ledger, number,
                                        this->fencing, ending);
  if (window.figures.empty()) {
    return;
  }
  const std::string key =
      UsageWindowKey(this->options.lease.data_centre, number);
  std::string text = EncodeUsageWindow(window);
  if (std::ssize(text) > this->options.max_record_bytes) {
    LogError(kPart, "Usage window is too large for the store.",
             {{"bytes", std::to_string(text.size())}});
    return;
  }
  if (this->options.window_written_once) {
    transaction.conditions.push_back(
        {.key = key,
         .field = StoreCompare::Field::kCreateRevision,
         .revision = 0});
    transaction.then.push_back(StorePut(key, std::move(text)));
  }
  content.last_window = number;
  content.windows.push_back({.window = number,
                             .fencing = this->fencing,
                             .holder = this->options.lease.host,
                             .incarnation = this->options.lease.incarnation});
  this->closing = std::move(window);
  const int64_t expired_window = number - this->options.kept_windows;
  if (expired_window > 0 && !this->reports.contains(expired_window)) {
    transaction.then.push_back(StoreDelete(
        UsageWindowKey(this->options.lease.data_centre, expired_window)));
  }
}

void Coordinator::OnWritten(Instant now,
                            const StoreReply& reply,
                            CoordinatorActions& out) {
  switch (reply.outcome) {
    case StoreOutcome::kThen:
      this->stored_revision = reply.revision;
      this->ApplyWrite(now);
      break;
    case StoreOutcome::kOtherwise:
      // An own write whose reply was lost took effect before this one, or the
      // lease has ended.
      if (this->CheckLease(now, reply, out)) {
        this->LoadRecord(now, reply, out);
      }
      break;
    case StoreOutcome::kNotApplied:
      break;  // retried at next_write
    case StoreOutcome::kUnknown:
      this->ReadRecord(now, out);
      break;
  }
}

void Coordinator::ApplyWrite(Instant now) {
  this->stored = std::exchange(this->writing, {});
  for (const Order& order : this->stored.orders) {
    OpenOrder& open = this->orders.at(order.id);
    if (open.stage == Stage::kProposed && open.order == order) {
      open.stage = Stage::kRecorded;
      open.next_send = now;
    }
  }
  for (const OpenWindow& window : this->stored.windows) {
    const auto open = this->reports.find(window.window);
    if (open != this->reports.end() && open->second.open == window &&
        open->second.stage == Stage::kProposed) {
      open->second.stage = Stage::kRecorded;
    }
  }
  if (this->closing.window != 0) {
    this->reports[this->closing.window] = {.open = this->stored.windows.back(),
                                           .stage = Stage::kRecorded,
                                           .next_send = now,
                                           .window = this->closing};
    this->last_window = std::exchange(this->closing, {});
  }
  std::erase_if(this->orders, [this](const auto& entry) {
    return entry.second.stage == Stage::kFinished &&
           std::ranges::find(this->stored.orders, entry.first, &Order::id) ==
               this->stored.orders.end();
  });
  std::erase_if(this->reports, [this](const auto& entry) {
    return entry.second.stage == Stage::kFinished &&
           std::ranges::find(this->stored.windows, entry.first,
                             &OpenWindow::window) == this->stored.windows.end();
  });
}

}  // namespace hickorystand
