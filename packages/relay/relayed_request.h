// The life of one caller's request in the relay.
//
//   Begin: read headers, find route and account
//   -> TakeTokens of the account's limit -> Place -> SendRun
//                                     |       |  `-> SendPrefill -> SendRun
//                                     |       `-> Refuse
//                                     `-> Refuse
//   answer whole -> pass it on
//   surely not run -> Place again, or refuse as not run
//   may have run   -> Place again if it may repeat, else answer that the
//                     outcome is unknown
//   stream broken  -> go on at another endpoint behind the last whole event,
//                     or break off so that the caller sees it

#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "relay/event_cutter.h"
#include "relay/fleet_relay.h"

namespace hickorystand {

class RelayedRequest : public std::enable_shared_from_this<RelayedRequest> {
 public:
  RelayedRequest(FleetRelay* relay,
                 CallerExchangePtr caller,
                 RequestOrigin origin);
  ~RelayedRequest();
  RelayedRequest(const RelayedRequest&) = delete;
  RelayedRequest& operator=(const RelayedRequest&) = delete;

  // Starts on it.
  void Begin();

  // Drops it without an answer; the process ends.
  void Abandon();

  // This host stops. A request of a caller that is connected here ends when the
  // schedule does; another host goes on with those that it forwarded.
  void OnStop(const StopSchedule& schedule);

  // Logs that it is unfinished at the end of the process.
  void LogUnfinished() const;

 private:
  // The one send under way.
  struct Attempt {
    FleetEndpoint endpoint;
    EndpointExchangePtr exchange;
    WorkId work = 0;
    Instant sent{};
    Duration expected{};   // to the first byte
    bool reading = false;  // reads the prompt for another endpoint
    int status = 0;
    EndpointAnswer answer;
    HttpHeaders headers;
    std::string body;      // held until it is whole
    bool foreign = false;  // bears no id, or another request's
    bool passing = false;  // the body goes on to the caller as it comes
    std::optional<Instant> first_byte_at;
  };

  // What an attempt's end means for the request.
  enum class Fate { kDone, kNotRun, kMayHaveRun };

  std::optional<Error> Admit();
  void TakeOver();
  std::optional<Error> CheckKey();
  std::optional<Error> CheckStop();
  void ArmDeadline();
  // How long the answer takes from now on: from the request's arrival, or from
  // the send of its run.
  enum class Step { kArrival, kRun };
  AnswerKind Kind() const;
  std::string_view StopReason() const;
  AnswerNeed Need(Step step) const;
  bool CanStillFinish(Step step) const;
  bool KeyStillValid() const;
  bool TakeTokens();
  void OnTokens(const LimitVerdict& verdict);
  void RefuseOverLimit(const LimitVerdict& verdict);
  void ReleaseTokens();
  void Place();
  void PlaceWithTokens();
  bool MaySendAgain();
  bool MayPrefillApart();
  void SendPrefill(const EndpointId& reader, const Placed& placed);
  void SendRun(const Placed& placed, const std::string& fetch_from);
  std::optional<SocketAddress> AddressOf(
      const std::optional<EndpointId>& endpoint) const;
  void Send(Attempt next, const EndpointCall& call, const SentWork& work);
  std::string HeadFor(const EndpointCall& call) const;

  bool OnHead(const Http1Head& head);
  void OnBytes(std::string_view bytes);
  void OnEnd(HttpEnd end);
  void OnRead(HttpEnd end);
  void NoteOutcome(const Attempt& at, bool good);
  void OnPromptHandle(const PromptHandle& handle, const EndpointId& reader);
  Fate JudgeEnd(HttpEnd end);
  Fate JudgeWhole();
  void PassOn(std::string_view bytes);
  void StartAnswer(std::optional<uint64_t> length);
  void AfterFailure(Fate fate, std::string_view why);
  void NoteBegun();
  void NoteFirstByte();
  void NoteEvent();

  void ArmStall();
  void OnStall();
  void OnDeadline();
  void OnCallerGone();
  void DropHandle();
  void EndAttempt();

  // Final answers of this host's own.
  void AnswerError(ErrorKind kind,
                   std::string_view why,
                   std::optional<Duration> retry_after = {});
  void RefuseNotRun(std::string_view why, Duration retry_after);
  void FailWithoutSending(ErrorKind kind,
                          std::string_view why,
                          Duration retry_after);
  void BreakOff(std::string_view why);
  void Over(std::string_view outcome);

  Duration Left() const;

  // Whether there is time enough for another send.
  bool WorthSending() const;
  bool StreamBegun() const {
    return this->caller->Started() || this->origin.stream_begun;
  }

  FleetRelay* relay;
  CallerExchangePtr caller;
  RequestOrigin origin;
  CallerRequest request;
  FleetConfigurationPtr configuration;  // in force when it came
  const Route* route = nullptr;         // of that configuration
  ServiceId service;
  AccountId account;
  std::optional<int64_t> priority;
  LimitAsk tokens;            // of the account's limit; no cost: none needed
  bool tokens_held = false;   // taken for the next run, which isn't sent yet
  bool tokens_asked = false;  // waits for them
  WorkShape shape;
  uint64_t fingerprint = 0;
  Instant arrived{};
  Instant deadline{};
  // When the process that has the caller ends, if that one stops.
  std::optional<Instant> finish_by;
  std::shared_ptr<const std::string> body;
  std::unique_ptr<Attempt> attempt;
  std::set<EndpointId> tried;
  int64_t runs_sent = 0;  // sends that may run the request
  int64_t arrivals = 0;   // of those, and of reading calls beyond the first
  bool prompt_accepted = false;  // by a reading call, for all that is known
  bool may_have_run = false;
  bool begun = false;
  bool over = false;
  bool retry_charged = false;  // the budget has paid for the next send
  SocketAddress handle_at;     // of a prompt that was read and not yet taken
  std::string handle;
  EventCutter cutter;
  std::optional<Instant> first_event;  // passed on to the caller
  Instant last_event{};
  Duration longest_pause{};  // between two passed on
  std::unique_ptr<Timer> deadline_timer;
  std::unique_ptr<Timer> stall_timer;
};

}  // namespace hickorystand
