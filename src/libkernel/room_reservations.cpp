#include "chervilkeel/room_reservations.h"

#include <algorithm>
#include <tuple>

#include "chervilkeel/name_table.h"

namespace chervilkeel {

namespace {

constexpr std::size_t kWorkersPerReservation = 16;

// After a search without result a step is passed over for this time, so that
// others get their turn.
constexpr millis kSearchInterval = 500;

// Weight of one start in the mean share of a service.
constexpr double kShareWeight = 0.02;

amount Larger(const amount& left, const amount& right) {
  return {std::max(left.milli_processors, right.milli_processors),
          std::max(left.memory_mb, right.memory_mb),
          std::max(left.accelerators, right.accelerators)};
}

double LargestShare(const amount& size, const amount& capacity) {
  const auto share = [](std::int64_t part, std::int64_t whole) {
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole)
                     : 0.0;
  };
  return std::max({share(size.milli_processors, capacity.milli_processors),
                   share(size.memory_mb, capacity.memory_mb),
                   share(size.accelerators, capacity.accelerators)});
}

}  // namespace

const char* NameOf(reservation_end end) {
  return NameIn(kReservationEndNames, end);
}

std::size_t room_reservations::MaxReserved(std::size_t workers) {
  return workers < 2
             ? 0
             : std::max<std::size_t>(workers / kWorkersPerReservation, 1);
}

void room_reservations::NoteSize(const std::string& service,
                                 const amount& size,
                                 const amount& capacity) {
  const auto [entry, is_new] = started_.try_emplace(service);
  started_tasks& started = entry->second;
  started.capacity = Larger(started.capacity, capacity);
  const double share = LargestShare(size, started.capacity);
  started.mean_share +=
      (is_new ? 1.0 : kShareWeight) * (share - started.mean_share);
}

bool room_reservations::IsLarge(const std::string& service,
                                const amount& size) const {
  const auto started = started_.find(service);
  return started != started_.end() &&
         LargestShare(size, started->second.capacity) >=
             kLargeMultiple * started->second.mean_share;
}

bool room_reservations::MaySearch(const step_name& step, millis now) {
  if (last_search_ == now) {
    return false;
  }
  std::erase_if(search_from_,
                [now](const auto& entry) { return entry.second <= now; });
  if (search_from_.count(step) != 0 ||
      std::any_of(by_worker_.begin(), by_worker_.end(), [&](const auto& entry) {
        return entry.second.task.Step() == step;
      })) {
    return false;
  }
  last_search_ = now;
  search_from_[step] = now + kSearchInterval;
  return true;
}

std::size_t room_reservations::CountOf(const std::string& service) const {
  return static_cast<std::size_t>(std::count_if(
      by_worker_.begin(), by_worker_.end(),
      [&](const auto& entry) { return entry.second.service == service; }));
}

std::vector<room_reservation> room_reservations::Reserve(
    const room_reservation& request,
    std::vector<room_offer> offers,
    std::size_t count,
    std::size_t service_workers,
    millis now) {
  std::erase_if(offers, [&](const room_offer& offer) {
    return offer.expected - now > kMaxTime ||
           by_worker_.count(offer.worker) != 0;
  });
  if (count == 0 || offers.size() < count ||
      CountOf(request.service) + count > MaxReserved(service_workers)) {
    return {};
  }
  std::partial_sort(offers.begin(),
                    offers.begin() + static_cast<std::ptrdiff_t>(count),
                    offers.end(), [](const auto& left, const auto& right) {
                      return std::tie(left.expected, left.worker) <
                             std::tie(right.expected, right.worker);
                    });
  std::vector<room_reservation> made;
  for (std::size_t i = 0; i < count; ++i) {
    room_reservation reservation = request;
    reservation.task.index += static_cast<std::uint32_t>(i);
    reservation.worker = offers[i].worker;
    reservation.boot = offers[i].boot;
    reservation.made_at = now;
    reservation.until = now + kMaxTime;
    reservation.first_expected = offers[i].expected;
    reservation.expected = offers[i].expected;
    reservation.spare = offers[i].spare;
    by_worker_[reservation.worker] = reservation;
    made.push_back(std::move(reservation));
  }
  return made;
}

const room_reservation* room_reservations::Of(const std::string& worker) const {
  const auto found = by_worker_.find(worker);
  return found == by_worker_.end() ? nullptr : &found->second;
}

bool room_reservations::Delays(const std::string& worker,
                               const step_name& step,
                               std::uint32_t priority,
                               const task_need& need,
                               std::optional<millis> end) const {
  const room_reservation* reservation = Of(worker);
  if (reservation == nullptr || reservation->task.Step() == step ||
      priority < reservation->priority ||
      (end && *end <= reservation->expected)) {
    return false;
  }
  const bool leaves_best_effort =
      !reservation->need.is_best_effort ||
      need.use.best_effort_milli_processors <=
          reservation->spare.best_effort_milli_processors;
  return !Fits(need.use.free, reservation->spare.free) || !leaves_best_effort;
}

std::optional<room_reservation> room_reservations::NoteStart(
    const task_name& task,
    const std::string& worker,
    const task_need& need,
    std::optional<millis> end) {
  const auto found = by_worker_.find(worker);
  if (found == by_worker_.end()) {
    return std::nullopt;
  }
  room_reservation& reservation = found->second;
  if (reservation.task.Step() == task.Step()) {
    room_reservation ended = std::move(reservation);
    by_worker_.erase(found);
    search_from_.erase(ended.task.Step());
    return ended;
  }
  if (!end || *end > reservation.expected) {
    reservation.spare -= need.use;
  }
  return std::nullopt;
}

void room_reservations::Update(const std::string& worker,
                               millis expected,
                               worker_room spare) {
  const auto found = by_worker_.find(worker);
  if (found != by_worker_.end()) {
    found->second.expected = expected;
    found->second.spare = spare;
  }
}

std::vector<room_reservation> room_reservations::End(const step_name& step,
                                                     reservation_end cause,
                                                     millis now) {
  std::vector<room_reservation> ended;
  std::erase_if(by_worker_, [&](auto& entry) {
    const bool is_of_step = entry.second.task.Step() == step;
    if (is_of_step) {
      ended.push_back(std::move(entry.second));
    }
    return is_of_step;
  });
  if (cause == reservation_end::kExpired) {
    search_from_[step] = now + kMaxTime;
  } else {
    search_from_.erase(step);
  }
  return ended;
}

}  // namespace chervilkeel
