// Versioned storage of the manifest: immutable sections keyed by content hash,
// a root that is updated by compare-and-swap, and a history of all former
// roots.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/manifest.h"
#include "chervilkeel/result.h"
#include "chervilkeel/store.h"
#include "chervilkeel/wire_json.h"

namespace chervilkeel {

inline constexpr const char* kManifestRootKey = "manifest/root";

// A manifest root and the store version of its key.
struct stored_root {
  wire::manifest_root root;
  std::uint64_t store_version = 0;
};

// A request to commit a manifest.
struct manifest_commit {
  std::string text;
  std::string author;
  std::string note;
  std::string operation;  // Unique; identifies a commit whose reply was lost.
  std::uint64_t base_version = 0;  // 0: the current version.
  bool rebase = false;             // Merge with disjoint concurrent commits.
};

// The outcome of a commit.
struct commit_report {
  wire::manifest_root root;
  findings found;                      // If not empty, nothing was committed.
  std::vector<std::string> conflicts;  // Sections changed concurrently.
  std::vector<std::string> changed;    // Sections changed by this commit.
  bool rebased = false;
};

// Reads and commits manifests in any key-value store.
template <store_like store_type>
class manifest_store {
 public:
  explicit manifest_store(store_type& store) : store_(store) {}

  // Returns the current root, or a root of version 0 if no manifest has ever
  // been committed.
  result<stored_root> ReadRoot() {
    stored_root found;
    const auto entry = store_.Get(kManifestRootKey);
    if (!entry) {
      if (entry.error().code == error_code::kNotFound) {
        return found;
      }
      return entry.as_failure();
    }
    found.store_version = entry.value().version;
    const auto read =
        FromJson(entry.value().value, kManifestRootKey, found.root);
    if (!read) {
      return read.as_failure();
    }
    return found;
  }

  // Returns the former root of the given version.
  result<wire::manifest_root> ReadHistory(std::uint64_t version) {
    const auto entry = store_.Get(HistoryKey(version));
    if (!entry) {
      return entry.as_failure();
    }
    wire::manifest_root root;
    const auto read = FromJson(entry.value().value, entry.value().key, root);
    if (!read) {
      return read.as_failure();
    }
    return root;
  }

  // Returns up to `limit` former roots, newest first, starting at `version`.
  result<std::vector<wire::manifest_root>> History(std::uint64_t version,
                                                   std::size_t limit) {
    std::vector<wire::manifest_root> roots;
    while (version > 0 && roots.size() < limit) {
      auto root = ReadHistory(version--);
      if (!root) {
        return root.as_failure();
      }
      roots.push_back(std::move(root.value()));
    }
    return roots;
  }

  // Returns the sections of a root, except those whose hash is in `known`.
  result<std::vector<wire::manifest_section>> ReadSections(
      const wire::manifest_root& root,
      const std::vector<std::string>& known) {
    std::vector<wire::manifest_section> sections;
    for (const auto& reference : root.sections()) {
      if (std::count(known.begin(), known.end(), reference.hash()) != 0) {
        continue;
      }
      const auto entry = store_.Get(SectionKey(reference.hash()));
      if (!entry) {
        return entry.as_failure();
      }
      wire::manifest_section section;
      section.set_name(reference.name());
      section.set_hash(reference.hash());
      section.set_content(entry.value().value);
      sections.push_back(std::move(section));
    }
    return sections;
  }

  // Commits a manifest atomically. If a concurrent commit changed the same
  // sections, or changed any section and no rebase was requested, nothing is
  // committed and the report lists the conflicting sections. If the manifest is
  // invalid, the report lists the findings. Fails with kUnknown if a write
  // failed and the root could not be read back; the operation stored in the
  // root shows later whether the commit took effect.
  result<commit_report> Commit(const manifest_commit& commit) {
    commit_report report;
    const manifest_reading reading = ReadManifest(commit.text);
    report.found = reading.found;
    if (!report.found.empty()) {
      return report;
    }
    std::vector<wire::manifest_section> sections = SplitSections(commit.text);
    auto current = ReadRoot();
    if (!current) {
      return current.as_failure();
    }
    if (current.value().root.operation() == commit.operation) {
      report.root = current.value().root;  // An earlier attempt succeeded.
      return report;
    }
    wire::manifest_root base = current.value().root;
    if (commit.base_version != 0 && commit.base_version != base.version()) {
      auto former = ReadHistory(commit.base_version);
      if (!former) {
        return former.as_failure();
      }
      base = former.value();
    }
    const wire::manifest_root ours = MakeRoot(sections);
    report.changed = DifferingSections(base, ours);
    return CommitOnto(commit, base, ours, sections, current.value(), report);
  }

 private:
  static constexpr int kMaxTries = 8;

  static std::string HistoryKey(std::uint64_t version) {
    char text[24];
    std::snprintf(text, sizeof text, "%012llu",
                  static_cast<unsigned long long>(version));
    return std::string("manifest/history/") + text;
  }

  static std::string SectionKey(const std::string& hash) {
    return "manifest/section/" + hash;
  }

  static wire::manifest_root MakeRoot(
      const std::vector<wire::manifest_section>& sections) {
    wire::manifest_root root;
    for (const auto& section : sections) {
      auto* reference = root.add_sections();
      reference->set_name(section.name());
      reference->set_hash(section.hash());
    }
    return root;
  }

  // Writes an immutable value. Succeeds if the key already exists.
  result<void> PutIfAbsent(const std::string& key, const std::string& value) {
    const auto written = store_.Put(key, value, 0, 0);
    if (!written && written.error().code != error_code::kConflict) {
      return written.as_failure();
    }
    return boost::outcome_v2::success();
  }

  result<commit_report> CommitOnto(const manifest_commit& commit,
                                   const wire::manifest_root& base,
                                   const wire::manifest_root& ours,
                                   std::vector<wire::manifest_section> sections,
                                   stored_root current,
                                   commit_report report) {
    const std::uint64_t first_version = current.root.version();
    for (int attempt = 0; attempt < kMaxTries; ++attempt) {
      wire::manifest_root next = ours;
      if (current.root.version() != base.version()) {
        const auto merged =
            RebaseOnto(commit, base, ours, current.root, report);
        if (!merged) {
          return merged.as_failure();
        }
        if (!report.conflicts.empty() || !report.found.empty()) {
          return report;
        }
        next = merged.value();
        report.rebased = true;
      }
      next.set_version(current.root.version() + 1);
      next.set_operation(commit.operation);
      next.set_author(commit.author);
      next.set_note(commit.note);
      next.set_committed_at_ms(WallNow());
      const auto written = WriteRoot(next, sections, current);
      if (written) {
        report.root = next;
        return report;
      }
      if (written.error().code == error_code::kInvalid) {
        return written.as_failure();
      }
      const auto resolved = ResolveFailedWrite(commit.operation, first_version);
      if (!resolved) {
        return resolved.as_failure();
      }
      if (resolved.value().root.operation() == commit.operation) {
        report.root = resolved.value().root;
        return report;
      }
      current = resolved.value();
    }
    return Fail(error_code::kUnavailable,
                "the manifest root changed on each of " +
                    std::to_string(kMaxTries) + " tries");
  }

  result<void> WriteRoot(const wire::manifest_root& next,
                         const std::vector<wire::manifest_section>& sections,
                         const stored_root& current) {
    for (const auto& section : sections) {
      const auto put =
          PutIfAbsent(SectionKey(section.hash()), section.content());
      if (!put) {
        return put.as_failure();
      }
    }
    if (current.root.version() != 0) {
      const auto put =
          PutIfAbsent(HistoryKey(current.root.version()), ToJson(current.root));
      if (!put) {
        return put.as_failure();
      }
    }
    const auto written =
        store_.Put(kManifestRootKey, ToJson(next), current.store_version, 0);
    if (!written) {
      return written.as_failure();
    }
    return boost::outcome_v2::success();
  }

  // After a failed write, reads the current root to find out whether the write
  // took effect. If the operation was committed but has been superseded since,
  // returns its root from the history.
  result<stored_root> ResolveFailedWrite(const std::string& operation,
                                         std::uint64_t first_version) {
    auto current = ReadRoot();
    if (!current) {
      return Fail(error_code::kUnknown,
                  "whether operation " + operation +
                      " took effect is not known: " + current.error().message);
    }
    for (std::uint64_t version = current.value().root.version() - 1;
         current.value().root.operation() != operation &&
         version > first_version;
         --version) {
      const auto former = ReadHistory(version);
      if (former && former.value().operation() == operation) {
        current.value().root = former.value();
        break;
      }
    }
    return current;
  }

  // Rebases the sections changed by this commit onto the current root,
  // `theirs`. Adds conflicts to the report if that is not possible or not
  // requested.
  result<wire::manifest_root> RebaseOnto(const manifest_commit& commit,
                                         const wire::manifest_root& base,
                                         const wire::manifest_root& ours,
                                         const wire::manifest_root& theirs,
                                         commit_report& report) {
    const auto their_changes = DifferingSections(base, theirs);
    std::vector<std::string> both;
    for (const std::string& name : report.changed) {
      if (std::count(their_changes.begin(), their_changes.end(), name) != 0) {
        both.push_back(name);
      }
    }
    if (!commit.rebase || !both.empty()) {
      report.conflicts = both.empty() ? their_changes : both;
      report.root = theirs;
      return theirs;
    }
    std::map<std::string, std::string> merged;
    for (const auto& section : theirs.sections()) {
      merged[section.name()] = section.hash();
    }
    for (const std::string& name : report.changed) {
      merged.erase(name);
    }
    for (const auto& section : ours.sections()) {
      if (std::count(report.changed.begin(), report.changed.end(),
                     section.name()) != 0) {
        merged[section.name()] = section.hash();
      }
    }
    return ValidateMerged(commit, merged, report);
  }

  // Validates the merged manifest as a whole, since two commits that are each
  // valid may be inconsistent together.
  result<wire::manifest_root> ValidateMerged(
      const manifest_commit& commit,
      const std::map<std::string, std::string>& merged,
      commit_report& report) {
    wire::manifest_root root;
    std::map<std::string, wire::manifest_section> ours;
    for (const auto& section : SplitSections(commit.text)) {
      ours[section.hash()] = section;
    }
    std::vector<wire::manifest_section> whole;
    for (const auto& [name, hash] : merged) {
      auto* reference = root.add_sections();
      reference->set_name(name);
      reference->set_hash(hash);
      wire::manifest_section section;
      section.set_name(name);
      if (const auto own = ours.find(hash); own != ours.end()) {
        section.set_content(own->second.content());
      } else {
        const auto entry = store_.Get(SectionKey(hash));
        if (!entry) {
          return entry.as_failure();
        }
        section.set_content(entry.value().value);
      }
      whole.push_back(std::move(section));
    }
    report.found = ReadManifest(JoinSections(whole)).found;
    return root;
  }

  store_type& store_;
};

}  // namespace chervilkeel
