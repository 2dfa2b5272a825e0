#include "relay.h"

#include <array>
#include <utility>

#include <boost/asio/write.hpp>

namespace chervilkeel::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

tcp::endpoint ToAsio(const endpoint& at) {
  return {asio::ip::make_address(at.address), at.port};
}

// One connection, with both directions.
class relayed_connection
    : public std::enable_shared_from_this<relayed_connection> {
 public:
  relayed_connection(links& between,
                     tcp::socket near,
                     tcp::socket far,
                     place from,
                     place to)
      : links_(between),
        near_{std::move(near), from, {}},
        far_{std::move(far), to, {}} {}

  void Start(const tcp::endpoint& process) {
    links_.WhenOpen(near_.at, far_.at, [self = shared_from_this(), process] {
      self->far_.socket.async_connect(process, [self](error_code failure) {
        if (failure) {
          self->Close();
          return;
        }
        self->far_.socket.set_option(tcp::no_delay(true));
        self->Pump(self->near_, self->far_);
        self->Pump(self->far_, self->near_);
      });
    });
  }

 private:
  struct side {
    tcp::socket socket;
    place at = 0;
    std::array<char, 16384> bytes;
  };

  // What is read while the link is closed waits for it, as does an end.
  void Pump(side& from, side& to) {
    from.socket.async_read_some(
        asio::buffer(from.bytes), [self = shared_from_this(), &from, &to](
                                      error_code failure, std::size_t size) {
          self->links_.WhenOpen(
              from.at, to.at, [self, &from, &to, failure, size] {
                if (failure) {
                  self->Close();
                  return;
                }
                asio::async_write(
                    to.socket, asio::buffer(from.bytes, size),
                    [self, &from, &to](error_code lost, std::size_t) {
                      if (lost) {
                        self->Close();
                      } else {
                        self->Pump(from, to);
                      }
                    });
              });
        });
  }

  void Close() {
    error_code ignored;
    near_.socket.close(ignored);
    far_.socket.close(ignored);
  }

  links& links_;
  side near_;
  side far_;
};

}  // namespace

relay::relay(asio::io_context& context,
             links& between,
             place target,
             endpoint process,
             place_finder find)
    : context_(context),
      links_(between),
      target_(target),
      process_(std::move(process)),
      find_(std::move(find)),
      acceptor_(context) {}

bool relay::Start(const endpoint& listen) {
  error_code failure;
  acceptor_.open(tcp::v4(), failure);
  acceptor_.set_option(tcp::acceptor::reuse_address(true), failure);
  acceptor_.bind(ToAsio(listen), failure);
  if (failure || acceptor_.listen(256, failure)) {
    return false;
  }
  Accept();
  return true;
}

void relay::Accept() {
  acceptor_.async_accept([self = shared_from_this()](error_code failure,
                                                     tcp::socket socket) {
    error_code unknown;
    const tcp::endpoint peer = socket.remote_endpoint(unknown);
    if (!failure && !unknown) {
      const auto from = self->find_(peer.address().to_string());
      if (from) {
        socket.set_option(tcp::no_delay(true), unknown);
        std::make_shared<relayed_connection>(self->links_, std::move(socket),
                                             tcp::socket(self->context_), *from,
                                             self->target_)
            ->Start(ToAsio(self->process_));
      }
    }
    self->Accept();
  });
}

}  // namespace chervilkeel::soak
