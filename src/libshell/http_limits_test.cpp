// What the HTTP server answers to clients beyond its limits, on loopback.
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

#include "chervilkeel/http_server.h"

namespace chervilkeel {

namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

constexpr std::size_t kBodyLimit = 10'000;

// A server with low limits, and clients with plain sockets.
struct limits_fixture {
  limits_fixture() {
    http_limits limits;
    limits.budget_bytes = 60'000;
    limits.header_bytes = 1'024;
    limits.header_fields = 16;
    limits.header_time = 200;
    limits.grace = 200;
    limits.json_values = 100;
    asio::io_context probe;
    tcp::acceptor free_port(probe, {asio::ip::address_v4::loopback(), 0});
    http_server_options options;
    options.listen = {"127.0.0.1", free_port.local_endpoint().port()};
    free_port.close();
    options.body_limit = kBodyLimit;
    options.copies_in_service = 10;
    options.takes_json = true;
    options.admission = std::make_shared<http_admission>(limits);
    port = options.listen.port;
    server = std::make_shared<http_server>(
        context, options, [this](const http_request&, const auto& respond) {
          ++served;
          respond({200, "served", "text/plain", {}});
        });
    BOOST_TEST_REQUIRE(server->Start().has_value());
    runner = std::thread([this] {
      const auto guard = asio::make_work_guard(context);
      context.run();
    });
  }

  ~limits_fixture() {
    context.stop();
    runner.join();
  }

  // Sends a text and returns all that comes until the server closes.
  std::string Ask(const std::string& text) const {
    asio::io_context client_context;
    tcp::socket socket(client_context);
    socket.connect({asio::ip::address_v4::loopback(), port});
    asio::write(socket, asio::buffer(text));
    std::string answer;
    boost::system::error_code failure;
    char buffer[1024];
    while (!failure) {
      answer.append(buffer, socket.read_some(asio::buffer(buffer), failure));
    }
    return answer;
  }

  static std::string Head(const std::string& fields) {
    return "POST /x HTTP/1.1\r\nConnection: close\r\n" + fields + "\r\n";
  }

  static std::string Post(const std::string& body) {
    return Head("Content-Length: " + std::to_string(body.size()) + "\r\n") +
           body;
  }

  asio::io_context context;
  std::uint16_t port = 0;
  std::atomic<int> served{0};
  std::shared_ptr<http_server> server;
  std::thread runner;
};

bool Is(const std::string& answer, const char* status) {
  return answer.rfind(std::string("HTTP/1.1 ") + status, 0) == 0 &&
         answer.find("Connection: close") != std::string::npos;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(http_limits_suite, limits_fixture)

BOOST_AUTO_TEST_CASE(request_beyond_a_limit_gets_its_status_and_no_service) {
  BOOST_TEST(Is(Ask(Head("Content-Length: 10001\r\n")), "413"));
  BOOST_TEST(Is(Ask(Head("a: " + std::string(1'100, 'x') + "\r\n")), "431"));
  std::string fields;
  for (int i = 0; i < 20; ++i) {
    fields += "a: b\r\n";
  }
  BOOST_TEST(Is(Ask(Head(fields)), "431"));
  BOOST_TEST(Is(Ask(Post(std::string(200, ','))), "413"));
  BOOST_TEST(Is(Ask(Post(std::string(40, '['))), "413"));
  BOOST_TEST(served == 0);
  BOOST_TEST(Is(Ask(Post("[1]")), "200"));
  BOOST_TEST(served == 1);
}

// Guards against an idle time that starts anew, and against a client that
// stops.
BOOST_AUTO_TEST_CASE(request_that_is_not_sent_in_time_gets_408) {
  BOOST_TEST(Is(Ask("POST /x HT"), "408"));
  BOOST_TEST(Is(Ask(Head("Content-Length: 10\r\n") + "x"), "408"));
  BOOST_TEST(served == 0);
}

// Guards against taking a request whose work does not fit into the memory.
BOOST_AUTO_TEST_CASE(request_beyond_the_budget_gets_503_and_no_service) {
  const std::string answer = Ask(Post(std::string(9'000, 'x')));
  BOOST_TEST(Is(answer, "503"));
  BOOST_TEST(answer.find("Retry-After: 1") != std::string::npos);
  BOOST_TEST(served == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
