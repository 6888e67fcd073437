#include "agent_link.h"

namespace medlarwalk {

void AgentLink::Start(UpstreamCall call) {
  std::shared_ptr<AgentLink> self = shared_from_this();
  call_ = std::move(call);
  busy_ = true;
  if (!agent_.usable()) {
    // A frozen process's kernel still accepts connections: nothing is sent
    // until a probe was answered.
    End(CallEnd::kNotSent, "agent does not answer");
    return;
  }
  sent_ = true;
  H2Call h2;
  h2.method = call_.request.method;
  h2.path = call_.request.target;
  h2.headers = call_.request.headers;
  h2.body = Payload(std::string(call_.request.body));
  std::weak_ptr<AgentLink> link = self;
  h2.on_response = [link](int status, const auto& headers) {
    std::shared_ptr<AgentLink> l = link.lock();
    if (!l || !l->busy_) return;
    MessageHead head;
    head.status = status;
    for (const auto& [k, v] : headers) head.headers.emplace_back(k, v);
    l->have_head_ = true;
    l->call_.on_head(head);
  };
  h2.on_data = [link](absl::string_view d) {
    std::shared_ptr<AgentLink> l = link.lock();
    if (l && l->busy_) l->call_.on_body(d);
  };
  h2.on_close = [link](const absl::Status& status, bool never_sent) {
    std::shared_ptr<AgentLink> l = link.lock();
    if (l && l->busy_) l->OnClose(status, never_sent);
  };
  int32_t stream = agent_.Submit(std::move(h2));
  if (busy_) stream_ = stream;
}

void AgentLink::OnClose(const absl::Status& status, bool never_sent) {
  if (status.ok() && have_head_) {
    End(CallEnd::kWhole, EndName(EndKnownBy::kStreamEnd));
  } else if (never_sent) {
    End(CallEnd::kNotSent, status.message());
  } else {
    End(have_head_ ? CallEnd::kBrokenOff : CallEnd::kNoAnswer,
        status.message());
  }
}

void AgentLink::End(CallEnd end, absl::string_view why) {
  busy_ = false;
  std::string reason(why);
  auto f = std::move(call_.on_end);
  if (f) f(end, reason);
}

void AgentLink::Cancel() {
  if (!busy_) return;
  busy_ = false;
  if (stream_) agent_.Cancel(stream_);
}

}  // namespace medlarwalk
