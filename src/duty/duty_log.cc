#include "duty_log.h"

#include <algorithm>
#include <utility>

namespace medlarwalk {

size_t DutyLog::Subject::OpenBytes() const {
  size_t n = 0;
  for (const auto& [number, content] : open) n += content->size();
  return n;
}

bool DutyLog::Apply(const DutyRecord& r) {
  Subject& s = subjects_[r.subject];
  bool is_first = r.number > s.committed_through;
  if (is_first) {
    s.committed_through = r.number;
    s.open[r.number] = r.content;
  }
  s.accepted_through = std::max(s.accepted_through, r.accepted_through);
  s.open.erase(s.open.begin(), s.open.upper_bound(s.accepted_through));
  while (s.open.size() > kMaxOpen) s.open.erase(s.open.begin());
  return is_first;
}

const DutyLog::Subject& DutyLog::FindSubject(const std::string& subject) const {
  static const Subject kNothing;
  auto it = subjects_.find(subject);
  return it == subjects_.end() ? kNothing : it->second;
}

void DutyLog::Restore(const std::string& subject, Subject s) {
  subjects_[subject] = std::move(s);
}

size_t DutyLog::OpenBytes() const {
  size_t n = 0;
  for (const auto& [name, s] : subjects_) n += s.OpenBytes();
  return n;
}

}  // namespace medlarwalk
