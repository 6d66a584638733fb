// libraft's header has no C linkage of its own.
#pragma once

#include <cstdarg>
#include <cstddef>
#include <cstdio>

extern "C" {
#include <raft.h>
}
