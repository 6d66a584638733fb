#include "app/signals.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace lotusyard {
namespace {

volatile std::sig_atomic_t g_terminate = 0, g_print = 0, g_reread = 0;
int g_wake_fd = -1;  // the write end of a pipe: a signal must end poll(2) at once

void on_signal(int signal) {
  (signal == SIGUSR1 ? g_print : signal == SIGHUP ? g_reread : g_terminate) = 1;
  const char byte = 0;
  if (write(g_wake_fd, &byte, 1) < 0)
    return;  // full: the loop wakes anyway
}

bool taken(volatile std::sig_atomic_t& flag) {
  if (flag == 0)
    return false;
  flag = 0;
  return true;
}

}  // namespace

Signals::Signals(net::EventLoop& loop) : loop_(loop) {
  int ends[2];
  if (pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0)
    throw std::runtime_error("no pipe for signals");
  read_end_ = net::Socket(ends[0]);
  write_end_ = net::Socket(ends[1]);
  g_wake_fd = write_end_.fd();
  loop_.register_handler(read_end_.fd(), *this, POLLIN, net::EventLoop::Priority::urgent);
  struct sigaction act {};
  act.sa_handler = on_signal;
  for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP})
    sigaction(signal, &act, nullptr);
  act.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &act, nullptr);
}

Signals::~Signals() { loop_.unregister(read_end_.fd(), *this); }

void Signals::ready(short) {
  char bytes[64];
  while (read(read_end_.fd(), bytes, sizeof bytes) > 0) {
  }
}

bool Signals::print_requested() { return taken(g_print); }
bool Signals::reload_requested() { return taken(g_reread); }
bool Signals::terminate_requested() { return taken(g_terminate); }

}  // namespace lotusyard
