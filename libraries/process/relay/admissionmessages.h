#pragma once

#include "process/limits/admissionhistory.h"
#include "relay.pb.h"

namespace Hyssophall {

/// An admission record as it is told to others.
hyssophall::relay::v1::AdmissionRecord encodeAdmissions(const AdmissionRecord &record);

/// The reverse. Counts without an age are left out.
AdmissionRecord decodeAdmissions(const hyssophall::relay::v1::AdmissionRecord &message);

} // namespace Hyssophall
