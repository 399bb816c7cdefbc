// An ingress host's side of forwarding: hands each request that a caller sent
// to a scheduler, and passes the answer on as it comes.
//
// While a scheduler answers nothing has to be decided here. When one is lost,
// its requests go to another one, which is told how far they got: it knows the
// routes, so it decides whether they may run again. A request that a scheduler
// declines hasn't run there and goes to another one as if it had never been
// sent.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "decisions/scheduler_choice.h"
#include "decisions/stop_schedule.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "peers/message.h"
#include "relay/caller_exchange.h"
#include "relay/event_cutter.h"
#include "relay/message_codec.h"

namespace hickorystand {

class RequestForwarder {
 public:
  using SendTo = std::function<bool(const HostId&, const PeerMessage&)>;

  RequestForwarder(ZoneId own,
                   const Clock& clock,
                   const MessageCodec& codec,
                   Metrics& metrics,
                   SendTo send);
  ~RequestForwarder();
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  // A caller's request.
  void OnRequest(const CallerExchangePtr& caller);

  // The schedulers that may be chosen, what one says, and one that is lost.
  void SetSchedulers(const std::vector<FleetHost>& schedulers);
  void OnNews(const HostId& from, const SchedulerNews& news);
  void OnAnswer(const HostId& from, const ForwardedAnswer& part);
  void OnLost(const HostId& scheduler);

  // Notes that this host has applied a configuration version itself.
  void NoteAppliedVersion(int64_t version) {
    this->choice.NoteAppliedVersion(version);
  }

  // This host stops: schedulers are told how long a request may last, what
  // can't be finished is refused, and all calls end when the schedule does.
  void StartDrain(const StopSchedule& schedule);

  // Logs each request that is unfinished at the end of the process.
  void LogUnfinished();

  // Whether a scheduler has requests of this host.
  bool HasRequestsAt(const HostId& scheduler) const;

  // The newest configuration version reported by any scheduler or applied by
  // this host.
  int64_t NewestConfigurationVersion() const { return this->choice.Version(); }

  // Whether requests can be served.
  bool Ready() const { return this->choice.Ready(); }

 private:
  // Why this host ended a request itself, in answers and in metrics.
  struct Reason {
    std::string_view text;
    std::string_view label;
  };

  static constexpr Reason kNoScheduler{"no scheduler", "no_scheduler"};
  static constexpr Reason kStopping{"this host stops", "host_stopping"};
  static constexpr Reason kNoAnswer{"no answer from the scheduler",
                                    "no_answer"};
  static constexpr Reason kSchedulerLost{"scheduler lost", "scheduler_lost"};
  static constexpr std::string_view kBadRequestLabel = "bad_request";

  struct Call {
    CallerExchangePtr caller;
    RequestId request;
    int64_t number = 0;  // at the scheduler that has it now
    HostId scheduler;
    Instant arrived{};
    Instant give_up_at{};  // without an answer of a scheduler
    int64_t sends = 0;     // to schedulers
    int64_t declined = 0;  // of the sends: surely not run
    std::set<HostId> tried;
    EventCutter events;  // knows the last event that was passed on
    bool streams = false;
    bool paused = false;
    std::unique_ptr<Timer> deadline;

    // Sends that may have led to a run.
    int64_t UncertainSends() const { return this->sends - this->declined; }
  };
  using CallPtr = std::shared_ptr<Call>;

  void Forward(const CallPtr& call);
  void ArmDeadline(const CallPtr& call);
  bool ForwardDeclined(int64_t number, const CallPtr& call);
  bool SendRequest(const Call& call, const HostId& to, int64_t number) const;
  void StartAnswer(Call& call, const ForwardedHead& head);
  void PassOn(int64_t number, Call& call, std::string_view bytes);
  void End(int64_t number);
  void Cancel(int64_t number);
  void OnDeadline(int64_t number);
  void GiveUp(Call& call, ErrorKind kind, const Reason& why);
  void LogCall(const Call& call,
               std::string_view sentence,
               LogLevel level = LogLevel::kInfo);

  const Clock* clock;
  const MessageCodec* codec;
  Metrics* metrics;
  SendTo send;
  SchedulerChoice choice;
  LogLimiter log_limiter;
  std::optional<StopSchedule> stop;
  int64_t last_number = 0;
  std::map<int64_t, CallPtr> calls;
};

}  // namespace hickorystand
