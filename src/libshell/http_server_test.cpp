// The HTTP server while it leaves: what was sent to it is answered.
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "chervilkeel/http_drain.h"
#include "chervilkeel/http_server.h"

namespace chervilkeel {

namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

// A server on a free port of loopback, and clients with plain sockets.
struct server_fixture {
  server_fixture() {
    asio::io_context probe;
    tcp::acceptor free_port(probe, {asio::ip::address_v4::loopback(), 0});
    http_server_options options;
    options.listen = {"127.0.0.1", free_port.local_endpoint().port()};
    free_port.close();
    port = options.listen.port;
    server = std::make_shared<http_server>(
        context, options,
        [](const http_request& request, const http_responder& respond) {
          respond({200, request.body, "text/plain", {}});
        });
    BOOST_TEST_REQUIRE(server->Start().has_value());
  }

  ~server_fixture() {
    context.stop();
    if (runner.joinable()) {
      runner.join();
    }
  }

  void Run() {
    runner = std::thread([this] {
      const auto guard = asio::make_work_guard(context);
      context.run();
    });
  }

  tcp::socket Connect() {
    tcp::socket socket(client_context);
    socket.connect({asio::ip::address_v4::loopback(), port});
    return socket;
  }

  static void Send(tcp::socket& socket, const std::string& text) {
    asio::write(socket, asio::buffer(text));
  }

  // Reads until the server closes, or until one whole answer is there.
  static std::string Receive(tcp::socket& socket, bool until_closed) {
    std::string text;
    boost::system::error_code failure;
    char buffer[1024];
    while (!failure && (until_closed || text.find("body") == text.npos)) {
      const std::size_t size = socket.read_some(asio::buffer(buffer), failure);
      text.append(buffer, size);
    }
    return text;
  }

  static constexpr const char* kRequest =
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";

  asio::io_context context;
  asio::io_context client_context;
  std::uint16_t port = 0;
  std::shared_ptr<http_server> server;
  std::thread runner;
};

bool Answered(const std::string& text) {
  return text.find("200 OK") != std::string::npos &&
         text.find("body") != std::string::npos;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(http_server_suite, server_fixture)

BOOST_AUTO_TEST_CASE(
    kept_connection_of_draining_server_is_answered_and_closed) {
  Run();
  tcp::socket client = Connect();
  Send(client, kRequest);
  BOOST_TEST(Answered(Receive(client, false)));
  server->Drain();
  Send(client, kRequest);
  const std::string last = Receive(client, true);
  BOOST_TEST(Answered(last));
  BOOST_TEST(last.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(waiting_connections_of_stopping_server_are_answered) {
  std::vector<tcp::socket> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(Connect());
    Send(clients.back(), kRequest);
  }
  server->Stop();
  Run();
  for (tcp::socket& client : clients) {
    BOOST_TEST(Answered(Receive(client, true)));
  }
}

BOOST_AUTO_TEST_CASE(request_with_half_a_body_counts_as_in_flight) {
  Run();
  tcp::socket client = Connect();
  const std::string text = kRequest;
  Send(client, text.substr(0, text.size() - 2));
  while (server->InFlight() == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  server->Stop();
  Send(client, text.substr(text.size() - 2));
  BOOST_TEST(Answered(Receive(client, true)));
  while (server->InFlight() != 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

// Guards against a process that ends before the answer is written, and against
// one that waits for ever for a client.
BOOST_AUTO_TEST_CASE(stopped_server_is_awaited_until_its_answer_or_the_limit) {
  Run();
  tcp::socket socket = Connect();
  Send(socket, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo");
  while (server->InFlight() == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  server->Stop();
  BOOST_TEST(AwaitAnswers(*server, 50) == 1U);
  Send(socket, "dy");
  BOOST_TEST(AwaitAnswers(*server, 5'000) == 0U);
  BOOST_TEST(socket.available() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
