// Includes all types that the core shares with the code that uses it.
#pragma once

#include "core/attempt.h"
#include "core/call.h"
#include "core/front_end.h"
#include "core/host_transport.h"
#include "core/policy_types.h"
