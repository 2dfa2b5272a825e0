// Interface to the platform's key-value store, and a registry of the plug-ins
// that implement it.
#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chervilkeel/clock.h"
#include "chervilkeel/result.h"
#include "chervilkeel/settings.h"

namespace chervilkeel {

// A key, its value and its version. Versions of a key only increase; version 0
// means that the key is absent.
struct store_entry {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

// The operations required of a store. This is a concept so that tests can use
// small fakes.
//
// Errors: kNotFound if the key or lease does not exist, kConflict if the
// version is not the expected one, kInvalid if the value exceeds the size
// limit, kUnavailable if the call certainly had no effect, kUnknown if it may
// have had an effect.
template <class type>
concept store_like = requires(type& store,
                              const std::string& text,
                              std::uint64_t number,
                              millis time) {
  { store.Get(text) } -> std::same_as<result<store_entry>>;
  { store.List(text) } -> std::same_as<result<std::vector<store_entry>>>;
  {
    store.Put(text, text, number, number)
    } -> std::same_as<result<std::uint64_t>>;
  { store.Delete(text, number) } -> std::same_as<result<void>>;
  { store.GrantLease(time) } -> std::same_as<result<std::uint64_t>>;
  { store.RenewLease(number) } -> std::same_as<result<void>>;
  { store.Watch(text, number, time) } -> std::same_as<result<store_entry>>;
};

// The interface that store plug-ins implement; it satisfies store_like. Every
// call blocks until the store replies or the call times out. Thread-safe.
class key_value_store {
 public:
  virtual ~key_value_store() = default;

  virtual result<store_entry> Get(const std::string& key) = 0;

  // Returns all entries whose key begins with the prefix, ordered by key.
  virtual result<std::vector<store_entry>> List(const std::string& prefix) = 0;

  // Writes a value if the key has the expected version (0: the key is absent),
  // and attaches it to `lease` unless that is 0. Returns the new version.
  virtual result<std::uint64_t> Put(const std::string& key,
                                    const std::string& value,
                                    std::uint64_t expected_version,
                                    std::uint64_t lease) = 0;

  // Deletes a key if it has the expected version.
  virtual result<void> Delete(const std::string& key,
                              std::uint64_t expected_version) = 0;

  // Creates a lease and returns its ID. When the lease expires, the keys
  // attached to it are deleted.
  virtual result<std::uint64_t> GrantLease(millis duration) = 0;

  // Renews a lease for its original duration.
  virtual result<void> RenewLease(std::uint64_t lease) = 0;

  // Waits until the key's version differs from `known_version` and returns the
  // entry. Returns the unchanged entry after `timeout`. An absent key has
  // version 0.
  virtual result<store_entry> Watch(const std::string& key,
                                    std::uint64_t known_version,
                                    millis timeout) = 0;
};

static_assert(store_like<key_value_store>);

// Connection parameters of a store client.
struct store_connection {
  endpoint peer;
  millis timeout = 1'000;  // Per call.
  std::string caller;      // Name of this process, sent with each call.
};

using store_factory =
    std::function<std::unique_ptr<key_value_store>(store_connection)>;

// Registers a plug-in under the name by which settings refer to it. Plug-ins
// call this during static initialization.
bool RegisterStore(const std::string& kind, store_factory factory);

// Creates a client of the named kind. If no plug-in has that name, fails with
// kNotFound and lists the registered kinds.
result<std::unique_ptr<key_value_store>> MakeStore(const std::string& kind,
                                                   store_connection connection);

}  // namespace chervilkeel
