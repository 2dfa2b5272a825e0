// Carries the connections between processes, as long as their links are open.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "chervilkeel/settings.h"
#include "links.h"

namespace chervilkeel::soak {

// Returns the process that has an address.
using place_finder = std::function<std::optional<place>(const std::string&)>;

// Stands in front of one process. A closed link is silent: connections stay
// open, new ones get no answer, and what was sent arrives when it opens.
class relay : public std::enable_shared_from_this<relay> {
 public:
  relay(boost::asio::io_context& context,
        links& between,
        place target,
        endpoint process,
        place_finder find);

  // Listens; returns false if the port is taken.
  bool Start(const endpoint& listen);

 private:
  void Accept();

  boost::asio::io_context& context_;
  links& links_;
  const place target_;
  const endpoint process_;
  const place_finder find_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace chervilkeel::soak
