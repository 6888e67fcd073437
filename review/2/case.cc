// Case 2: a request is smuggled inside another one. The outer request names
// transfer codings of which chunked isn't the last, so that its body has no
// length that a recipient may rely on; its body holds a second request. No
// server may run the second request, and none may run the first one with
// another body than the client sent.
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "../lab.h"

namespace {

using namespace review;

constexpr int kServers = 3;
constexpr int kRequests = 30;

const char kConfig[] =
    R"({"Version":7,"Routes":[{"Name":"r-release","Host":"ficu95.example",)"
    R"("PathPrefix":"/release/","Type":"unsafe","TimeoutMs":1000,)"
    R"("TargetLatencyMs":100,"Priority":2,"Service":"scalehouse",)"
    R"("MaxAttempts":1,"Anonymous":false,"Sticky":false,"Resumable":false,)"
    R"("ItlTargetMs":0}],"Services":[{"Name":"scalehouse",)"
    R"("HealthPath":"/healthz","MaxConnections":130,"Protocol":"h1",)"
    R"("Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
    R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{)"
    R"("Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}]})";

// The bodies that servers ran, by Attempt-Id.
std::mutex mutex;
std::map<std::string, std::vector<std::string>> runs;

void Serve(Lab& lab, int server, Socket& s) {
  Message m;
  while (s.ReadMessage(&m, 60000)) {
    std::string id = m.Header("attempt-id");
    if (m.Target() == "/healthz") {
      if (!s.Send("HTTP/1.1 200 OK\r\nInstance-Id: i-" +
                  std::to_string(server) + "\r\nContent-Length: 0\r\n\r\n")) {
        return;
      }
      continue;
    }
    {
      std::lock_guard<std::mutex> lock(mutex);
      runs[id].push_back(m.body);
    }
    lab.record().Line("server i-" + std::to_string(server) + " runs " + id +
                      " for tenant " + m.Header("tenant") + ", body of " +
                      std::to_string(m.body.size()) + " bytes");
    if (!s.Send(Answer("200 OK", id, "released " + id))) return;
  }
}

std::string Head(const std::string& id) {
  return "POST /release/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " +
         id + "\r\nDeadline-Ms: 1000\r\nApi-Key: n2ctnfzs989anu6wsjnb\r\n";
}

}  // namespace

int main(int argc, char** argv) {
  Lab lab(argc > 1 ? argv[1] : ".");
  std::vector<Instance> instances;
  std::vector<std::unique_ptr<Listener>> servers;
  for (int i = 0; i < kServers; ++i) {
    instances.push_back({"i-" + std::to_string(i), "scalehouse",
                         lab.ServerIp(i), lab.server_port(), "pit-a", 6});
    servers.push_back(
        std::make_unique<Listener>(lab.ServerIp(i), lab.server_port(),
                                   [&lab, i](Socket& s) { Serve(lab, i, s); }));
  }
  if (!lab.Start(instances, kConfig)) {
    lab.record().Line("the deployment didn't start");
    return 2;
  }
  lab.record().Line(Trouble() ? "started, with the disruption"
                              : "started, without the disruption");
  SleepMs(500);
  int smuggled = 0;
  int changed = 0;
  int answered = 0;
  for (int k = 0; k < kRequests; ++k) {
    char outer[32];
    char inner[32];
    snprintf(outer, sizeof(outer), "aa%014x", k);
    snprintf(inner, sizeof(inner), "bb%014x", k);
    std::string body = Head(inner) + "Content-Length: 0\r\n\r\n";
    const char* coding = k % 2 ? "xchunked" : "chunked, identity";
    std::string framing =
        Trouble() ? std::string("Transfer-Encoding: ") + coding
                  : "Content-Length: " + std::to_string(body.size());
    Socket s;
    if (!s.Connect(lab.Ip(k % 3), lab.frontend()) ||
        !s.Send(Head(outer) + framing + "\r\n\r\n" + body)) {
      continue;
    }
    std::string statuses;
    Message m;
    while (s.ReadMessage(&m, 300)) {
      statuses += (statuses.empty() ? "" : ", ") + std::to_string(m.Status());
      ++answered;
    }
    std::lock_guard<std::mutex> lock(mutex);
    bool inner_ran = !runs[inner].empty();
    bool body_changed = false;
    for (const std::string& b : runs[outer]) body_changed |= b != body;
    smuggled += inner_ran;
    changed += body_changed;
    lab.record().Line("client sent " + std::string(outer) + " with " + framing +
                      ", in its body " + inner + "; answers: " + statuses +
                      "; runs of " + outer + ": " +
                      std::to_string(runs[outer].size()) + ", of " + inner +
                      ": " + std::to_string(runs[inner].size()) +
                      (inner_ran || body_changed ? "  <- UNASKED broken" : ""));
  }
  std::string text =
      std::to_string(kRequests) + " requests, " + std::to_string(answered) +
      " answers; smuggled requests that a server ran: " +
      std::to_string(smuggled) +
      "; outer requests run with another body: " + std::to_string(changed);
  lab.record().Line(text);
  printf("%s\n", text.c_str());
  if (answered == 0) return 2;
  return smuggled + changed > 0 ? 1 : 0;
}
