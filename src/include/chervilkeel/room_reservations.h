// Reservations of workers for large tasks that wait. Each worker has one at
// most; other tasks start there only if they don't delay the one for which the
// worker is reserved. They are estimates of the owner and are not stored.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilkeel/job.h"
#include "chervilkeel/room_timeline.h"
#include "chervilkeel/worker_report.h"

namespace chervilkeel {

// Why a reservation has ended.
enum class reservation_end {
  kStarted,           // A task of the step has started on the worker.
  kStartedElsewhere,  // The task has started on another worker.
  kTaskEnded,         // The task or its job is over.
  kExpired,           // The time of the reservation is up.
  kNoRoom,            // The expected ends no longer free enough.
  kWorkerLost,        // The worker is silent, has restarted or has crashed.
  kDraining,          // Its executor is leaving.
  kEvacuated,         // Its data centre is being evacuated.
};

struct reservation_end_name {
  reservation_end end;
  const char* name;
};

inline constexpr reservation_end_name kReservationEndNames[] = {
    {reservation_end::kStarted, "started"},
    {reservation_end::kStartedElsewhere, "started_elsewhere"},
    {reservation_end::kTaskEnded, "task_ended"},
    {reservation_end::kExpired, "expired"},
    {reservation_end::kNoRoom, "no_room"},
    {reservation_end::kWorkerLost, "worker_lost"},
    {reservation_end::kDraining, "draining"},
    {reservation_end::kEvacuated, "evacuated"},
};

const char* NameOf(reservation_end end);

struct room_reservation {
  task_name task;
  std::string service;
  std::uint32_t priority = 0;
  std::string worker;
  executor_boot boot;  // Of the worker's executor.
  task_need need;      // Of all tasks of a gang that are to start there.
  millis made_at = 0;
  millis until = 0;
  millis first_expected = 0;  // When it was made: the time of the start.
  // As expected now: the time of the start, and the room left then.
  millis expected = 0;
  worker_room spare;
};

// A worker that could be reserved, and when it will have room.
struct room_offer {
  std::string worker;
  executor_boot boot;
  millis expected = 0;
  worker_room spare;
};

// Memory and time of each call are bounded by the number of reservations,
// which is at most a sixteenth of the number of workers, or one.
class room_reservations {
 public:
  // A reservation holds a worker for this time at most. Larger tasks of a
  // loaded day end within it; a worker that is expected to be free later is not
  // reserved yet.
  static constexpr millis kMaxTime = 4'000;

  // A task is large if its share of a worker's capacity is at least this
  // multiple of the mean of those started: about the largest quarter.
  static constexpr double kLargeMultiple = 1.5;

  // Returns how many of a service's workers may be reserved at once: one in
  // sixteen, one at least, but never all of them.
  static std::size_t MaxReserved(std::size_t workers);

  // Takes note of a started task's size and its worker's capacity.
  void NoteSize(const std::string& service,
                const amount& size,
                const amount& capacity);
  bool IsLarge(const std::string& service, const amount& size) const;

  // Returns whether workers may be searched for a step now: for one step at a
  // time, and after a search without result not soon again.
  bool MaySearch(const step_name& step, millis now);

  // The worker after which the next search begins, so that the searches look at
  // all workers in turn.
  const std::string& LastSearched() const { return last_searched_; }
  void NoteSearched(const std::string& worker) { last_searched_ = worker; }

  std::size_t CountOf(const std::string& service) const;

  // Reserves the offered workers with the earliest expected starts: `count` of
  // them or none, so that no gang holds a part of what it needs. Of `request`
  // the task, its service, priority and need are used. Returns the new
  // reservations.
  std::vector<room_reservation> Reserve(const room_reservation& request,
                                        std::vector<room_offer> offers,
                                        std::size_t count,
                                        std::size_t service_workers,
                                        millis now);

  // Returns the reservation of a worker, or null.
  const room_reservation* Of(const std::string& worker) const;

  // Returns whether a task that starts now and ends by `end` (nothing: never)
  // would delay the one for which the worker is reserved.
  bool Delays(const std::string& worker,
              const step_name& step,
              std::uint32_t priority,
              const task_need& need,
              std::optional<millis> end) const;

  // Takes note of a start. Returns the worker's reservation if it was for that
  // step; it has ended.
  std::optional<room_reservation> NoteStart(const task_name& task,
                                            const std::string& worker,
                                            const task_need& need,
                                            std::optional<millis> end);

  // Updates what is expected of a worker.
  void Update(const std::string& worker, millis expected, worker_room spare);

  // Ends all reservations for a step and returns them. After one that has
  // expired the step gets no other for as long as it lasted.
  std::vector<room_reservation> End(const step_name& step,
                                    reservation_end cause,
                                    millis now);

  const std::map<std::string, room_reservation>& ByWorker() const {
    return by_worker_;
  }

 private:
  std::map<std::string, room_reservation> by_worker_;
  std::map<step_name, millis> search_from_;  // Steps not to be searched before.
  millis last_search_ = 0;
  std::string last_searched_;
  struct started_tasks {
    amount capacity;        // The largest of each resource.
    double mean_share = 0;  // Of the resource of which a task needs most.
  };
  std::map<std::string, started_tasks> started_;  // By service.
};

}  // namespace chervilkeel
