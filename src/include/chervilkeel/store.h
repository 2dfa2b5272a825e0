// The platform's key-value store as the shell sees it, and the registry of
// plug-ins that speak to one.
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

// A value with its version. Versions of one key only rise; 0 means absent.
struct store_entry {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

// What the code asks of a store, so that tests can pass a small fake.
//
// Errors: kNotFound for a key or lease that does not exist, kConflict when the
// version isn't the expected one, kInvalid for a value over the limit,
// kUnavailable when the call certainly had no effect, kUnknown when it may
// have had one.
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

// The interface that store plug-ins implement; it meets store_like. Every call
// blocks until the answer or the time-out. Safe from any thread.
class key_value_store {
 public:
  virtual ~key_value_store() = default;

  // Returns one value.
  virtual result<store_entry> Get(const std::string& key) = 0;

  // Returns all values whose key begins with the prefix, in order of keys.
  virtual result<std::vector<store_entry>> List(const std::string& prefix) = 0;

  // Writes a value if the key has the expected version (0: is absent), bound
  // to a lease unless `lease` is 0. Returns the new version.
  virtual result<std::uint64_t> Put(const std::string& key,
                                    const std::string& value,
                                    std::uint64_t expected_version,
                                    std::uint64_t lease) = 0;

  // Deletes a key that has the expected version.
  virtual result<void> Delete(const std::string& key,
                              std::uint64_t expected_version) = 0;

  // Makes a lease; when it lapses, the keys bound to it are deleted.
  virtual result<std::uint64_t> GrantLease(millis duration) = 0;

  // Extends a lease by its duration.
  virtual result<void> RenewLease(std::uint64_t lease) = 0;

  // Waits until the key's version differs from the known one, and returns it;
  // after `timeout` returns the entry as it is. An absent key has version 0.
  virtual result<store_entry> Watch(const std::string& key,
                                    std::uint64_t known_version,
                                    millis timeout) = 0;
};

static_assert(store_like<key_value_store>);

// How a client reaches the store.
struct store_connection {
  endpoint peer;
  millis timeout = 1'000;  // Of one call.
  std::string caller;      // The process's name, sent with each call.
};

using store_factory =
    std::function<std::unique_ptr<key_value_store>(store_connection)>;

// Registers a plug-in under the name that settings use. Called by the plug-ins
// themselves before main().
bool RegisterStore(const std::string& kind, store_factory factory);

// Makes a client of the named kind; kNotFound lists the kinds there are.
result<std::unique_ptr<key_value_store>> MakeStore(const std::string& kind,
                                                   store_connection connection);

}  // namespace chervilkeel
