// Includes libraft with C linkage, which its header does not declare.
#pragma once

#include <cstdarg>
#include <cstddef>
#include <cstdio>

extern "C" {
#include <raft.h>
}
