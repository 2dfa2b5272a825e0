// The manifest that a process has in force. Its version only rises.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "chervilkeel/manifest.h"
#include "chervilkeel/result.h"

namespace chervilkeel {

// One version of the manifest, never changed once made.
struct manifest_view {
  wire::manifest_root root;
  manifest value;
};

// Shared between the threads of a process. Its mutex is taken after those of
// the tables and before that of the decision log.
class manifest_holder {
 public:
  manifest_holder();

  // Returns the version in force; its root has version 0 at first.
  std::shared_ptr<const manifest_view> View() const;
  std::uint64_t Version() const { return View()->root.version(); }

  // Returns the hashes of the sections in force.
  std::vector<std::string> KnownHashes() const;

  // Takes a root and those of its sections that are not held yet. Returns
  // whether it came into force: only a higher version does. kInvalid when a
  // section is missing, doesn't have its hash, or the whole has findings.
  result<bool> Take(const wire::manifest_root& root,
                    const std::vector<wire::manifest_section>& fetched);

  // Answers a peer: the root, and the sections that it doesn't know.
  void Fill(const wire::manifest_request& request,
            wire::manifest_reply& reply) const;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const manifest_view> view_;
  std::map<std::string, wire::manifest_section> sections_;  // By hash.
};

}  // namespace chervilkeel
