#include "raft/raft_requests.h"

#include <memory>
#include <utility>

#include "raft/raft_buffer.h"

namespace lotusyard::raft {
namespace {

// libraft keeps a pointer to a request until it calls back; the callback deletes the request.
template <typename LibraftRequest>
struct Request {
  LibraftRequest libraft_request{};
  Completion done;
};

template <typename LibraftRequest>
void finish(LibraftRequest* libraft_request, int status) {
  const std::unique_ptr<Request<LibraftRequest>> request(
      static_cast<Request<LibraftRequest>*>(libraft_request->data));
  if (request->done) {
    request->done(status == 0);
  }
}

void on_applied(struct raft_apply* request, int status, void* /*result*/) { finish(request, status); }
void on_changed(raft_change* request, int status) { finish(request, status); }

// `start` passes the request to libraft and returns libraft's status.
template <typename LibraftRequest, typename Start>
bool submit(Completion&& done, const Start& start) {
  auto request = std::make_unique<Request<LibraftRequest>>();
  request->libraft_request.data = request.get();
  request->done = std::move(done);
  if (start(&request->libraft_request) != 0) {
    return false;
  }
  static_cast<void>(request.release());  // finish() deletes it
  return true;
}

}  // namespace

bool request_apply(::raft& instance, const std::string& entry, Completion done) {
  raft_buffer buffer{copy_to_raft_memory(entry), entry.size()};
  const auto start = [&](struct raft_apply* request) {
    return raft_apply(&instance, request, &buffer, 1, &on_applied);
  };
  if (submit<struct raft_apply>(std::move(done), start)) {
    return true;
  }
  raft_free(buffer.base);
  return false;
}

bool request_add(::raft& instance, const StoredServer& server, Completion done) {
  return submit<raft_change>(std::move(done), [&](raft_change* request) {
    return raft_add(&instance, request, server.id, server.address.c_str(), &on_changed);
  });
}

bool request_assign(::raft& instance, std::uint64_t id, int role, Completion done) {
  return submit<raft_change>(std::move(done), [&](raft_change* request) {
    return raft_assign(&instance, request, id, role, &on_changed);
  });
}

bool request_remove(::raft& instance, std::uint64_t id, Completion done) {
  return submit<raft_change>(std::move(done), [&](raft_change* request) {
    return raft_remove(&instance, request, id, &on_changed);
  });
}

}  // namespace lotusyard::raft
