#include "agent_link.h"

namespace medlarwalk {

void AgentLink::Start(UpstreamCall call) {
  std::shared_ptr<AgentLink> self = shared_from_this();
  call_ = std::move(call);
  call_active_ = true;
  if (!agent_.usable()) {
    // A request is sent only after the agent has answered a probe. A successful
    // connect is not enough, because the kernel accepts connections even for a
    // frozen agent process.
    EndCall(CallEnd::kNotSent, "agent does not answer");
    return;
  }
  sent_ = true;
  H2Call h2;
  h2.method = call_.request.method;
  h2.path = call_.request.target;
  h2.headers = call_.request.headers;
  h2.body = call_.request.shared_body
                ? Payload("", call_.request.shared_body)
                : Payload(std::string(call_.request.body));
  std::weak_ptr<AgentLink> weak_link = self;
  h2.on_response = [weak_link](int status, const auto& headers) {
    std::shared_ptr<AgentLink> link = weak_link.lock();
    if (!link || !link->call_active_) return;
    MessageHead head;
    head.status = status;
    for (const auto& [k, v] : headers) head.headers.emplace_back(k, v);
    link->head_received_ = true;
    link->call_.on_head(head);
  };
  h2.on_data = [weak_link](absl::string_view d) {
    std::shared_ptr<AgentLink> link = weak_link.lock();
    if (link && link->call_active_) link->call_.on_body(d);
  };
  h2.on_close = [weak_link](const absl::Status& status, bool never_sent) {
    std::shared_ptr<AgentLink> link = weak_link.lock();
    if (link && link->call_active_) link->OnStreamClose(status, never_sent);
  };
  int32_t stream_handle = agent_.Submit(std::move(h2));
  if (call_active_) stream_handle_ = stream_handle;
}

void AgentLink::OnStreamClose(const absl::Status& status, bool never_sent) {
  if (status.ok() && head_received_) {
    EndCall(CallEnd::kWhole, EndDetectionName(EndDetection::kStreamEnd));
  } else if (never_sent) {
    EndCall(CallEnd::kNotSent, status.message());
  } else {
    EndCall(head_received_ ? CallEnd::kInterrupted : CallEnd::kNoAnswer,
            status.message());
  }
}

void AgentLink::EndCall(CallEnd end, absl::string_view reason) {
  call_active_ = false;
  std::string reason_copy(reason);
  auto f = std::move(call_.on_end);
  if (f) f(end, reason_copy);
}

void AgentLink::Cancel() {
  if (!call_active_) return;
  call_active_ = false;
  if (stream_handle_) agent_.Cancel(stream_handle_);
}

}  // namespace medlarwalk
