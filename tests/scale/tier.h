// Aliases of the measured program's types, and its paths, log texts and counters that these tests use.
#pragma once

#include "compliance/certificate_state.h"
#include "compliance/log_entry_codec.h"
#include "gossip/swim_protocol.h"
#include "maintenance/maintenance_state.h"
#include "quota/log_entry_codec.h"
#include "quota/quota_epochs.h"

namespace lotusyard::scale {

using MaintenanceState = maintenance::MaintenanceState;
using MaintenanceEntry = maintenance::LogEntry;
using Heartbeat = maintenance::Heartbeat;
using HostObservations = maintenance::HostObservations;
using QuotaEpochs = quota::QuotaEpochs;
using CertificateState = compliance::CertificateState;

constexpr const char* kReadyPath = "/-/ready";
constexpr const char* kProposeCompliancePath = "/-/compliance/propose/";
constexpr const char* kLeaderLogSuffix = " leads";  // ends the log line of a member that becomes leader
constexpr const char* kFramesSent = "group.sent";
constexpr const char* kViewsMalformed = "view.malformed";
constexpr const char* kFramesTooLong = "group.too_long";
constexpr const char* kLinksEnded = "group.links_ended";

}  // namespace lotusyard::scale
