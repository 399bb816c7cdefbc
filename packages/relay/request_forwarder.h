// The ingress host's side of forwarding: sends each caller's request to a
// scheduler, and forwards the answer to the caller as it arrives.
//
// The ingress host makes no routing decisions. When a scheduler is lost, its
// requests are sent to another one together with their progress; the new
// scheduler knows the routes and decides whether they may run again. A request
// that a scheduler declines has not run there, and is sent to another one as if
// it had not been sent before.
//
// Index
//   RequestForwarder   the requests of callers that are connected here

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
#include "relay/stream_tracker.h"

namespace hickorystand {

// A request of a caller of this host that this host had begun to serve.
struct HandedOver {
  ServiceId service;
  Instant arrived{};
  int64_t uncertain_runs = 0;           // runs whose outcome is unknown
  std::optional<int64_t> resume_after;  // last event that the caller received
  StreamProgress progress;
  bool counted = false;  // for the retry budget of this host
};

// Driven by the daemon: OnRequest for each caller's request, the other On...
// functions for messages and events of the links to schedulers. A request that
// can't be forwarded is answered with an error of this host.
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

  // Records where streams begin; null: nobody records it.
  void SetStreamTracker(StreamTracker* tracker) {
    this->stream_tracker = tracker;
  }

  // Forwards a caller's request, or answers it with an error.
  void OnRequest(const CallerExchangePtr& caller);

  // Forwards a request that this host can't serve itself. Returns false, and
  // leaves the caller alone, if no scheduler reaches the service.
  bool TakeOver(const CallerExchangePtr& caller, const HandedOver& request);

  // Inputs: the list of eligible schedulers, one scheduler's reported state, a
  // part of an answer, and the loss of the link to a scheduler.
  void SetSchedulers(const std::vector<FleetHost>& schedulers);
  void OnSchedulerState(const HostId& from, const SchedulerStatus& news);
  void OnAnswer(const HostId& from, const ForwardedAnswer& part);
  void OnLost(const HostId& scheduler);

  // Records a configuration version that this host has applied itself.
  void NoteAppliedVersion(int64_t version) {
    this->choice.NoteAppliedVersion(version);
  }

  // Starts the drain of this host: forwarded requests carry the time left,
  // requests that can't be finished in it are refused, and all calls end by the
  // end of the schedule.
  void StartDrain(const StopSchedule& schedule);

  // Logs each request that is unfinished at the end of the process.
  void LogUnfinished();

  // Whether requests of this host wait for an answer of the scheduler.
  bool HasRequestsAt(const HostId& scheduler) const;

  // The newest configuration version reported by any scheduler or applied by
  // this host.
  int64_t NewestConfigurationVersion() const { return this->choice.Version(); }

  // Whether a scheduler is available that can serve requests; of a service.
  bool Ready() const { return this->choice.Ready(); }
  bool Reaches(const ServiceId& service) const {
    return this->choice.Choose({}, {.service = service}).has_value();
  }

 private:
  // Why this host ended a request itself: text of the answer, metric label.
  struct Reason {
    std::string_view text;
    std::string_view label;
  };

  static constexpr Reason kNoScheduler{"no scheduler", "no_scheduler"};
  static constexpr Reason kStopping{"this host stops", "host_stopping"};
  static constexpr Reason kNoAnswer{"no answer from the scheduler",
                                    "no_answer"};
  static constexpr Reason kSchedulerLost{"scheduler lost", "scheduler_lost"};
  static constexpr Reason kOriginUnknown{
      "the stream's software version is unknown", "origin_unknown"};
  static constexpr std::string_view kBadRequestLabel = "bad_request";

  // The most schedulers that may have run one request.
  static constexpr int64_t kMaxSends = 3;

  struct Call {
    CallerExchangePtr caller;
    RequestId request;
    RequestId first_attempt;     // of the stream
    bool continuation = false;   // the caller continues a stream
    ServiceId service;           // empty: unknown
    int64_t uncertain_runs = 0;  // on this host
    bool counted = false;        // by this host
    int64_t number = 0;          // identifies it on the link to `scheduler`
    HostId scheduler;
    Instant arrived{};
    Instant
        no_answer_deadline{};  // when it is ended without a scheduler's answer
    int64_t sends = 0;         // to schedulers
    int64_t declined = 0;      // of the sends; these did not run
    std::set<HostId> tried;
    EventCutter events;  // tracks the id of the last forwarded event
    StreamProgress progress;
    bool streams = false;
    bool paused = false;
    std::unique_ptr<Timer> deadline;

    // Sends that may have led to a run.
    int64_t UncertainSends() const {
      return this->uncertain_runs + this->sends - this->declined;
    }

    // The scheduler of a declined send doesn't count against the limit: it
    // answered at once.
    bool MaySend() const { return this->sends - this->declined < kMaxSends; }
  };
  using CallPtr = std::shared_ptr<Call>;

  CallPtr MakeCall(const CallerExchangePtr& caller,
                   const CallerRequest& request) const;
  void Accept(const CallPtr& call, std::optional<Duration> timeout);
  void Forward(const CallPtr& call);
  std::optional<HostId> ChooseFor(const Call& call) const;
  void ArmDeadline(const CallPtr& call);
  bool ForwardDeclined(int64_t number, const CallPtr& call);
  bool SendRequest(const Call& call, const HostId& to, int64_t number) const;
  void StartAnswer(Call& call, const ForwardedHead& head);
  void RecordOrigin(Call& call, const ForwardedHead& head);
  void PassOn(int64_t number, Call& call, std::string_view bytes);
  void End(int64_t number);
  void Cancel(int64_t number);
  void OnDeadline(int64_t number);
  void AnswerAndEnd(Call& call, ErrorKind kind, const Reason& why);
  void LogCall(const Call& call,
               std::string_view sentence,
               LogLevel level = LogLevel::kInfo);

  const Clock* clock;
  const MessageCodec* codec;
  Metrics* metrics;
  SendTo send;
  SchedulerChoice choice;
  StreamTracker* stream_tracker = nullptr;
  LogLimiter log_limiter;
  std::optional<StopSchedule> stop;
  int64_t last_number = 0;
  std::map<int64_t, CallPtr> calls;
};

}  // namespace hickorystand
