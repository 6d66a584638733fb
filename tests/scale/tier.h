// The names of the measured program that these tests use: its modules, paths and counters, in one place.
#pragma once

#include "compliance/certificate_state.h"
#include "compliance/log_entry_codec.h"
#include "gossip/swim_protocol.h"
#include "maintenance/maintenance_state.h"
#include "quota/log_entry_codec.h"
#include "quota/quota_epochs.h"

namespace lotusyard::scale {

using MaintenanceState = maintenance::MaintenanceState;
using BoardEntry = maintenance::LogEntry;
using Beat = maintenance::Heartbeat;
using BoardView = maintenance::HostObservations;
using Epochs = quota::QuotaEpochs;
using CertificateState = compliance::CertificateState;

constexpr const char* kReadyPath = "/-/ready";
constexpr const char* kProposeRegulation = "/-/compliance/propose/";
constexpr const char* kLeadsNote = " leads";  // ends the line of a member that begins to lead
constexpr const char* kFramesSent = "group.sent";
constexpr const char* kViewsMalformed = "view.malformed";
constexpr const char* kFramesTooLong = "group.too_long";
constexpr const char* kLinksEnded = "group.links_ended";

}  // namespace lotusyard::scale
