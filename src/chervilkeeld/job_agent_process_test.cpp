#include "job_agent_process.h"

#include <optional>

#include <grpcpp/grpcpp.h>
#include <boost/test/unit_test.hpp>

#include "chervilkeel/platform_adapter.h"
#include "store_in_memory.h"
#include "wire/jobs.grpc.pb.h"

namespace chervilkeel {

namespace {

constexpr const char* kAnnouncementBody = "ready";

// An executor that lists its runs a few times and then answers no more.
class mute_executor : public task_executor {
 public:
  explicit mute_executor(boost::asio::io_context& context)
      : context_(context) {}

  void Start(const order_context& /*context*/,
             const worker_order& /*order*/,
             millis /*lease_end*/,
             executor_callback<executor_answer> callback) override {
    callback(Fail(error_code::kUnknown, "no answer"));
  }
  void Stop(const order_context& /*context*/,
            const task_name& /*task*/,
            std::uint64_t /*run*/,
            executor_callback<executor_answer> callback) override {
    callback(Fail(error_code::kUnknown, "no answer"));
  }
  void Pace(const order_context& /*context*/,
            const worker_order& /*order*/,
            executor_callback<executor_answer> callback) override {
    callback(Fail(error_code::kUnknown, "no answer"));
  }
  void Hold(const order_context& /*context*/,
            millis /*lease_end*/,
            std::uint64_t /*recorded_end*/,
            millis /*wait*/,
            executor_callback<executor_listing> callback) override {
    boost::asio::post(context_, [this, callback = std::move(callback)] {
      if (listings_left == 0) {
        callback(Fail(error_code::kUnknown, "no answer"));
        return;
      }
      --listings_left;
      executor_listing listing;
      listing.clock = 100'000 + BootNow();
      listing.started_ms = 5;
      callback(listing);
    });
  }

  int listings_left = 3;

 private:
  boost::asio::io_context& context_;
};

class one_executor_adapter : public platform_adapter {
 public:
  std::unique_ptr<coordination_store> MakeStore(
      boost::asio::io_context& context,
      const endpoint& /*peer*/) const override {
    return std::make_unique<store_in_memory>(context);
  }
  std::unique_ptr<task_executor> MakeExecutor(
      boost::asio::io_context& context,
      const endpoint& /*peer*/) const override {
    return std::make_unique<mute_executor>(context);
  }
  std::string ConfigKey() const override { return "config"; }
  result<deployed_config> DecodeConfig(
      const std::string& /*text*/) const override {
    return deployed_config();
  }
  job_call DecodeCall(const http_request& /*request*/) const override {
    return {};
  }
  result<job_spec> DecodeJob(const std::string& /*body*/) const override {
    return job_spec();
  }
  http_response EncodeAnswer(const job_answer& /*answer*/) const override {
    return {};
  }
  bool IsReadinessCall(const http_request& /*request*/) const override {
    return false;
  }
  result<announcement> DecodeAnnouncement(
      const http_request& request) const override {
    BOOST_TEST(request.body == kAnnouncementBody);
    announcement said;
    said.worker.boot = {"executor", 5};
    said.worker.service = "cutting";
    said.worker.capacity = {4'000, 8'000, 0};
    said.address = {"127.0.0.1", 1};
    said.sequence = 1;
    return said;
  }
};

// An owner that grants, and tells the test of each call.
class granting_owner : public wire::job_owner_service::CallbackService {
 public:
  using heard_function = std::function<void(bool obeys)>;

  granting_owner(boost::asio::io_context& context, heard_function heard)
      : context_(context), heard_(std::move(heard)) {}

  grpc::ServerUnaryReactor* Sync(grpc::CallbackServerContext* context,
                                 const wire::agent_sync* request,
                                 wire::agent_orders* reply) override {
    reply->set_is_owner(true);
    reply->set_epoch(1);
    reply->set_grant_ms(request->obeys() ? 2'600 : 0);
    boost::asio::post(context_,
                      [this, obeys = request->obeys()] { heard_(obeys); });
    auto* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

 private:
  boost::asio::io_context& context_;
  heard_function heard_;
};

struct agent_fixture {
  boost::asio::io_context context;
  process_settings settings;
  std::optional<granting_owner> owner;
  std::unique_ptr<grpc::Server> server;
  std::optional<job_agent_process> agent;
  int obeying = 0;      // Calls that vouch for the executor.
  int not_obeying = 0;  // Calls after the first of those that don't.

  agent_fixture() {
    owner.emplace(context, [this](bool obeys) {
      obeying += obeys ? 1 : 0;
      not_obeying += !obeys && obeying > 0 ? 1 : 0;
    });
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &port);
    builder.RegisterService(&*owner);
    server = builder.BuildAndStart();
    settings.name = "agent";
    settings.rpc_port = static_cast<std::uint16_t>(port);
    settings.seeds = {{"127.0.0.1", 1}};
    settings.job_executor = {"127.0.0.1", 1};
    settings.announcements = {"127.0.0.1", 0};
    agent.emplace(context, settings, std::make_unique<one_executor_adapter>());
  }

  ~agent_fixture() { server->Shutdown(); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(job_agent, agent_fixture)

// An executor that listens no more may be gone: its agent must not go on
// vouching for what runs there, or the tasks would never start elsewhere.
BOOST_AUTO_TEST_CASE(executor_that_gives_no_lists_is_vouched_for_no_more) {
  BOOST_REQUIRE(agent->Start());
  http_request announced;
  announced.body = kAnnouncementBody;
  agent->TakeAnnouncement(announced, [](const http_response& response) {
    BOOST_TEST(response.status == 200);
  });
  // Lists are taken for fresh for a second; calls come faster than 20 a second
  // in none of the states, so that an agent that never stops is found out.
  constexpr int kMostCalls = 20'000;
  while (not_obeying == 0 && obeying < kMostCalls) {
    context.run_one();
  }
  BOOST_TEST(obeying > 0);
  BOOST_TEST(not_obeying > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
