#include "chervilkeel/manifest_holder.h"

#include <algorithm>
#include <utility>

namespace chervilkeel {

manifest_holder::manifest_holder()
    : view_(std::make_shared<const manifest_view>()) {}

std::shared_ptr<const manifest_view> manifest_holder::View() const {
  const std::lock_guard lock(mutex_);
  return view_;
}

std::vector<std::string> manifest_holder::KnownHashes() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> hashes;
  for (const auto& [hash, section] : sections_) {
    hashes.push_back(hash);
  }
  return hashes;
}

result<bool> manifest_holder::Take(
    const wire::manifest_root& root,
    const std::vector<wire::manifest_section>& fetched) {
  const std::lock_guard lock(mutex_);
  if (root.version() <= view_->root.version()) {
    return false;
  }
  std::map<std::string, wire::manifest_section> available = sections_;
  for (const auto& section : fetched) {
    if (HashContent(section.content()) != section.hash()) {
      return Fail(error_code::kInvalid, "manifest section \"" + section.name() +
                                            "\" does not have its hash");
    }
    available[section.hash()] = section;
  }
  std::map<std::string, wire::manifest_section> needed;
  std::vector<wire::manifest_section> whole;
  for (const auto& reference : root.sections()) {
    const auto found = available.find(reference.hash());
    if (found == available.end()) {
      return Fail(error_code::kInvalid,
                  "manifest section \"" + reference.name() + "\" is missing");
    }
    needed[reference.hash()] = found->second;
    whole.push_back(found->second);
    whole.back().set_name(reference.name());
  }
  manifest_reading reading = ReadManifest(JoinSections(whole));
  if (!reading.found.empty()) {
    return Fail(error_code::kInvalid, "manifest version " +
                                          std::to_string(root.version()) +
                                          ": " + ToText(reading.found, ""));
  }
  auto view = std::make_shared<manifest_view>();
  view->root = root;
  view->value = std::move(reading.value);
  view_ = std::move(view);
  sections_ = std::move(needed);
  return true;
}

void manifest_holder::Fill(const wire::manifest_request& request,
                           wire::manifest_reply& reply) const {
  const std::lock_guard lock(mutex_);
  *reply.mutable_root() = view_->root;
  for (const auto& [hash, section] : sections_) {
    const auto& known = request.known_hashes();
    if (std::find(known.begin(), known.end(), hash) == known.end()) {
      *reply.add_sections() = section;
    }
  }
}

}  // namespace chervilkeel
