// State machine of one caller's request in the relay.
//
//   Begin: read the headers, look up route and account
//   -> TakeTokens from the account's limit -> Place -> SendRun
//                                       |       |  `-> SendPrefill -> SendRun
//                                       |       `-> wait for room, or refuse
//                                       `-> refuse
//   complete answer -> forward it to the caller
//   did not run     -> Place again, or refuse as not run
//   may have run    -> Place again if the request may be repeated, else answer
//                      that the outcome is unknown
//   broken stream   -> resume at another endpoint after the last complete
//                      event, or abort the answer so that the caller sees it
//
// Index
//   RelayedRequest   the request; FleetRelay owns it until it is answered

#pragma once

#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "relay/event_cutter.h"
#include "relay/fleet_relay.h"

namespace hickorystand {

// Created by FleetRelay::Serve. Placing and sending are in relayed_request.cc,
// the wait for room in relayed_request_waiting.cc, the handling of endpoint
// answers is in relayed_answer.cc. All failures end in an answer to the caller;
// no function returns one to the relay.
class RelayedRequest : public std::enable_shared_from_this<RelayedRequest> {
 public:
  RelayedRequest(FleetRelay* relay,
                 CallerExchangePtr caller,
                 RequestOrigin origin);
  ~RelayedRequest();
  RelayedRequest(const RelayedRequest&) = delete;
  RelayedRequest& operator=(const RelayedRequest&) = delete;

  // Admits the request and sends it, or resumes it after a scheduler was lost.
  void Begin();

  // Cancels the request without an answer, at the end of the process.
  void Abandon();

  // This host shuts down. A request whose caller is connected here ends by the
  // end of the schedule; a forwarded request is continued by its ingress host.
  void OnStop(const StopSchedule& schedule);

  // The requests that crash endpoints have changed.
  void OnSuspectsChanged();

  // Which services are reached has changed: continues a request that waits for
  // it, and takes one back from endpoints that are silent because this host is
  // cut off.
  void OnReachChanged();

  // The process at an address has stated which run it is, or hasn't in time.
  void OnRunChecked(const SocketAddress& address);

  // Logs a request that is unfinished at the end of the process.
  void LogUnfinished() const;

 private:
  // The send in progress; there is at most one.
  struct Attempt {
    FleetEndpoint endpoint;
    PooledExchangePtr exchange;
    WorkId work = 0;
    Instant sent{};
    Duration expected{};   // to the first byte
    bool reading = false;  // prefill call; another endpoint generates
    int status = 0;
    EndpointAnswer answer;
    HttpHeaders headers;
    std::string body;               // buffered until complete
    std::unique_ptr<Holding> held;  // of what is buffered
    std::string_view framing;
    bool forwarding_body = false;  // the body is forwarded as it arrives
    bool until_close = false;      // the body has neither length nor chunks
    std::optional<Instant> first_byte_at;
    bool begun_recorded = false;  // by RecordBegun()
  };

  // How the last answer of an endpoint ended, for the log.
  struct EndRecord {
    std::string_view framing;
    std::optional<AnswerEnding> ending;
  };

  // Whether an attempt answered, did not run, or may have run.
  enum class RunResult { kDone, kNotRun, kMayHaveRun };

  std::optional<Error> Admit();
  void SetService(const ServiceId& to);
  bool MayHaveBegun() const;
  void FindOrigin();
  void OnOrigin(const StreamDecision& decision);
  void ContinueStream(const std::string& source, Duration waited);
  bool FindStoredOrigin(const StreamDecision& decision);
  RequestProfile Profile() const;
  void RefuseUnknownOrigin(const StreamDecision& decision);
  void CountOrigin(std::string_view source);
  void CountContinuation(std::string_view outcome);
  std::string FirstAttemptText() const;
  std::string SharedPartsText() const;
  void BeginStream();
  void RecordOrigin();
  std::optional<StreamOrigin> KnownOrigin() const;
  void BeginPlacing();
  void TakeOver();
  std::optional<Error> CheckKey();
  std::optional<Error> CheckStop();
  void ArmDeadline();
  // Start of the measured answer time: the request's arrival, or the send of
  // its run.
  enum class Step { kArrival, kRun };
  AnswerKind Kind() const;
  std::string_view StopReasonText() const;
  AnswerDuration Need(Step step) const;
  bool CanStillFinish(Step step) const;
  bool KeyStillValid() const;
  bool EndIfBlocked();
  std::string PartOf(const RequestBlock& block) const;
  bool TakeTokens();
  void OnTokens(const LimitVerdict& verdict);
  void RefuseOverLimit(const LimitVerdict& verdict);
  void ReleaseTokens();
  void Place();
  void PlaceWithTokens();
  void OnNoPlacement(const PlacementRefusal& refused);
  void RefusePlacement(std::string_view why, Duration until_room);
  void SendTo(const PlacementTarget& placed);

  // The wait for room at an endpoint, in relayed_request_waiting.cc.
  void TakeTicket();
  bool MayQueue() const;
  bool MustWaitInOrder() const;
  void WaitForRoom(Duration until_room);
  void LeaveQueue();
  void CountAdmission();
  void StartFromQueue();
  void RefuseFromQueue(std::string_view why);
  void EndWait();
  std::string WaitedText() const;
  void LogOverRates(const PlacementRefusal& refused);
  void LogOverloaded(const PlacementRefusal& refused);
  bool AwaitRunCheck(const EndpointId& id, const std::function<void()>& again);
  bool PassOnIfListIsOld();
  void LogNoEndpointOfOrigin();
  bool EndIfCutOff();
  bool HandOver(std::string_view reason);
  void SendAgain(std::string_view why);
  bool MayRepeat() const;
  void RecordFailure(const Attempt& ended, HttpEnd end);
  bool MaySendAgain();
  bool HasAttemptLeft() const;
  bool TakeRetry();
  bool MayPrefillSeparately();
  void SendPrefill(const EndpointId& reader, const PlacementTarget& placed);
  void SendRun(const PlacementTarget& placed, const std::string& fetch_from);
  std::optional<SocketAddress> AddressOf(
      const std::optional<EndpointId>& endpoint) const;
  void Send(Attempt next, const EndpointCall& call, const SentWork& work);
  std::string HeadFor(const EndpointCall& call) const;

  std::optional<uint64_t> OnHead(const Http1Head& head);
  void OnBytes(std::string_view bytes);
  void OnEnd(HttpEnd end);
  void OnPrefillEnd(HttpEnd end);
  void RecordOutcome(const Attempt& ended, bool good);
  void OnPromptHandle(const PromptHandle& handle, const FleetEndpoint& reader);
  RunResult JudgeEnd(HttpEnd end, Completeness completeness);
  RunResult JudgeWhole(Completeness completeness);
  void CountBuffered();
  void YieldBuffered();
  void ForwardBody();
  void PassOn(std::string_view bytes);
  void SendOn(std::string_view bytes);
  bool MayForward() const;
  void StartAnswer(std::optional<uint64_t> length);
  void AfterFailure(RunResult fate, std::string_view why);
  void MarkBegun();
  void RecordBegun();
  void RecordFirstByte();
  void RecordEvent();

  std::string EndText() const;
  void ArmStall();
  void OnStall();
  void OnDeadline();
  void OnCallerDisconnected();
  void ReleaseHandle();
  void ReleaseReservation();
  void EndAttempt();

  // Final answers that this host generates itself.
  void AnswerError(ErrorKind kind,
                   std::string_view why,
                   std::optional<Duration> retry_after = {});
  void RefuseNotRun(std::string_view why, Duration retry_after);
  void EndWithoutSending(ErrorKind kind,
                         std::string_view why,
                         Duration retry_after);
  void BreakOff(std::string_view why);
  void Complete(std::string_view outcome);
  void Release();

  Duration Left() const;

  // Whether the caller's answer has begun with neither length nor chunks.
  bool CallerUntilClose() const {
    return this->caller->Started() ? this->caller->UntilClose()
                                   : this->origin.until_close;
  }

  // The prompt's parts without the last one, which belongs to this request or
  // to its session.
  std::span<const PromptPart> SharedParts() const {
    const std::span all(this->request.parts);
    return all.first(all.empty() ? 0 : all.size() - 1);
  }

  // Whether the time left suffices for another send.
  bool HasTimeToSend() const;
  bool StreamBegun() const {
    return this->caller->Started() || this->origin.stream_begun;
  }

  FleetRelay* relay;
  CallerExchangePtr caller;
  RequestOrigin origin;
  CallerRequest request;
  FleetConfigurationPtr configuration;  // in force at the arrival
  const Route* route = nullptr;         // in `configuration`
  ServiceId service;
  AccountId account;
  std::optional<int64_t> priority;
  LimitRequest tokens;          // of the account's limit; cost 0: no limit
  bool tokens_held = false;     // granted for the next run, not yet sent
  bool tokens_pending = false;  // the limit gate has not decided yet
  // Of a contended service: the request in the terms of the admission gate,
  // which admits it in order.
  bool ordered = false;
  AdmissionTicket ticket;
  bool queued = false;               // it waits in the gate
  std::optional<Instant> queued_at;  // nullopt: it has never waited
  Duration waited{};                 // in the gate, before the current wait
  bool admission_counted = false;    // the gate has charged its work
  bool charged_again = false;        // the gate is to charge the next send too
  Duration until_room{};             // as of the last placement
  RequestProfile shape;
  RequestTraits traits;  // by which crashes of endpoints are put down to it
  Instant arrived{};
  Instant deadline{};
  // End of the process that has the caller's connection, if it shuts down.
  std::optional<Instant> finish_by;
  SharedBytes body;
  std::unique_ptr<Attempt> attempt;
  std::set<EndpointId> tried;
  StreamProgress progress;  // of the caller's stream
  std::shared_ptr<StreamLookup> origin_lookup;
  int64_t runs_sent = 0;         // sends that may run the request
  int64_t arrivals = 0;          // `runs_sent` and failed prefill calls
  bool prompt_accepted = false;  // an engine may have accepted a prefill call
  bool begun = false;
  bool over = false;
  bool counted = false;        // for the retry budget
  int64_t uncertain_runs = 0;  // sends from here whose outcome is unknown
  // Set while the next send waits until it is known whether the service's
  // endpoints can be reached: why the last one failed.
  std::optional<std::string> awaits_reach;
  // The next send waits until the process at an address states which run it is.
  // All such waits before a send end at the same time.
  struct RunCheckWait {
    SocketAddress address;
    std::function<void()> again;
  };
  std::optional<RunCheckWait> awaits_run_check;
  std::optional<Instant> run_check_end;
  bool retry_charged = false;  // the next send is charged to the retry budget
  // When the last retry was taken from the budget, unless it was sent.
  std::optional<Instant> unsent_retry;
  // Decode engine whose stated rate was charged when the prompt was sent to be
  // prefilled.
  std::optional<EndpointId> reserved;
  SocketAddress handle_address;  // engine that holds the prefilled prompt
  EndpointId handle_endpoint;
  std::string handle;
  EventCutter cutter;
  EndRecord last_end;
  std::optional<Instant> first_event;  // forwarded to the caller
  Instant last_event{};
  Duration longest_pause{};  // between two forwarded events
  std::unique_ptr<Timer> deadline_timer;
  std::unique_ptr<Timer> stall_timer;
};

}  // namespace hickorystand
