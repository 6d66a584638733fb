// The AMQP 0-9-1 wire format: everything that turns bytes into frames and values, and back. No I/O.
#pragma once

#include "amqp/content_header.h"
#include "amqp/field_table.h"
#include "amqp/frame.h"
#include "amqp/reader.h"
#include "amqp/writer.h"
