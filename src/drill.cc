#include "drill.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>

#include "nlohmann/json.hpp"

namespace medlarwalk {
namespace {

constexpr char kDrillVariable[] = "MEDLARWALK_DRILL";
constexpr int kMicrosPerMilli = 1000;
// Upper bound of the injected write delay. It allows delays of several seconds,
// because disks of the platform hang for seconds.
constexpr int kMaxDiskDelayMs = 10000;

// Returns the JSON object in the file at `path`; an empty object when the file
// cannot be read or is incomplete.
nlohmann::json ReadJsonObject(const std::string& path) {
  std::ifstream in(path);
  nlohmann::json j = nlohmann::json::parse(in, nullptr, false);
  return j.is_object() ? j : nlohmann::json::object();
}

// Returns the integer with key `name` in `j`, or 0.
int IntFromKey(const nlohmann::json& j, const char* name) {
  auto it = j.find(name);
  return it != j.end() && it->is_number_integer() ? it->get<int>() : 0;
}

}  // namespace

Drill Drill::FromEnvironment() {
  Drill d;
  if (const char* path = std::getenv(kDrillVariable)) d.path_ = path;
  return d;
}

int Drill::peer_listen_port() const {
  return active() ? IntFromKey(ReadJsonObject(path_), "peer_listen_port") : 0;
}

absl::Status Drill::ApplyDiskFaults() const {
  if (!active()) return absl::OkStatus();
  nlohmann::json j = ReadJsonObject(path_);
  int ms = std::min(IntFromKey(j, "disk_ms"), kMaxDiskDelayMs);
  if (ms > 0) usleep(static_cast<useconds_t>(ms * kMicrosPerMilli));
  auto full = j.find("disk_full");
  if (full != j.end() && *full == true) {
    return absl::UnavailableError("no space left on device (drill)");
  }
  return absl::OkStatus();
}

}  // namespace medlarwalk
