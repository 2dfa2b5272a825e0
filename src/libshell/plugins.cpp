// The registries of plug-ins.
#include "chervilkeel/platform_adapter.h"
#include "chervilkeel/registry.h"
#include "chervilkeel/store.h"
#include "chervilkeel/worker.h"

namespace chervilkeel {

namespace {

plugin_registry<store_factory>& Stores() {
  static plugin_registry<store_factory> registry;
  return registry;
}

plugin_registry<worker_factory>& Workers() {
  static plugin_registry<worker_factory> registry;
  return registry;
}

plugin_registry<adapter_factory>& Adapters() {
  static plugin_registry<adapter_factory> registry;
  return registry;
}

}  // namespace

bool RegisterAdapter(const std::string& kind, adapter_factory factory) {
  return Adapters().Add(kind, std::move(factory));
}

result<std::unique_ptr<platform_adapter>> MakeAdapter(const std::string& kind) {
  const auto factory = Adapters().Find(kind);
  if (!factory) {
    return factory.as_failure();
  }
  return factory.value()();
}

bool RegisterStore(const std::string& kind, store_factory factory) {
  return Stores().Add(kind, std::move(factory));
}

result<std::unique_ptr<key_value_store>> MakeStore(
    const std::string& kind,
    store_connection connection) {
  const auto factory = Stores().Find(kind);
  if (!factory) {
    return factory.as_failure();
  }
  return factory.value()(std::move(connection));
}

bool RegisterWorker(const std::string& kind, worker_factory factory) {
  return Workers().Add(kind, std::move(factory));
}

result<std::unique_ptr<worker_platform>> MakeWorker(const std::string& kind,
                                                    const endpoint& peer,
                                                    millis timeout) {
  const auto factory = Workers().Find(kind);
  if (!factory) {
    return factory.as_failure();
  }
  return factory.value()(peer, timeout);
}

}  // namespace chervilkeel
