#include "app/signals.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace lotusyard {
namespace {

// A signal handler can access only globals.
volatile std::sig_atomic_t g_terminate = 0;
volatile std::sig_atomic_t g_print = 0;
volatile std::sig_atomic_t g_reload = 0;
int g_wake_fd = -1;  // the write end of the pipe that wakes up poll(2)

volatile std::sig_atomic_t& flag_of(int signal) {
  switch (signal) {
    case SIGUSR1:
      return g_print;
    case SIGHUP:
      return g_reload;
    default:
      return g_terminate;
  }
}

void on_signal(int signal) {
  flag_of(signal) = 1;
  const char byte = 0;
  if (write(g_wake_fd, &byte, 1) < 0)
    return;  // the pipe is full: the loop wakes up anyway
}

bool test_and_clear(volatile std::sig_atomic_t& flag) {
  if (flag == 0)
    return false;
  flag = 0;
  return true;
}

}  // namespace

Signals::Signals(net::EventLoop& loop) : loop_(loop) {
  int ends[2];
  if (pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0)
    throw std::runtime_error("cannot create the pipe for signals");
  read_end_ = net::Socket(ends[0]);
  write_end_ = net::Socket(ends[1]);
  g_wake_fd = write_end_.fd();
  loop_.register_handler(read_end_.fd(), *this, POLLIN, net::EventLoop::Priority::urgent);
  struct sigaction action {};
  action.sa_handler = on_signal;
  for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP})
    sigaction(signal, &action, nullptr);
  action.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &action, nullptr);
}

Signals::~Signals() { loop_.unregister(read_end_.fd(), *this); }

void Signals::ready(short) {
  char bytes[64];
  while (read(read_end_.fd(), bytes, sizeof bytes) > 0) {
  }
}

bool Signals::print_requested() { return test_and_clear(g_print); }
bool Signals::reload_requested() { return test_and_clear(g_reload); }
bool Signals::terminate_requested() { return test_and_clear(g_terminate); }

}  // namespace lotusyard
