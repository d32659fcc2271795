#pragma once

#include "process/limits/admissionhistory.h"
#include "relay.pb.h"

namespace Hyssophall {

/// Converts an admission record to the message that is sent to other VMs. Ages are in milliseconds.
hyssophall::relay::v1::AdmissionRecord encodeAdmissions(const AdmissionRecord &record);

/// Converts a received message to an admission record. Counts without a matching age, and ages without a count, are dropped.
AdmissionRecord decodeAdmissions(const hyssophall::relay::v1::AdmissionRecord &message);

/// The same for the admissions that a VM couldn't report before.
hyssophall::relay::v1::UnreportedAdmissions encodeUnreported(const UnreportedAdmissions &unreported);
UnreportedAdmissions decodeUnreported(const hyssophall::relay::v1::UnreportedAdmissions &message);

} // namespace Hyssophall
