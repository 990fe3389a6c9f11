/** @file
 * All headers of the model. Each file includes only those that it needs; this one is for files that
 * have not come to that yet. */
#ifndef RP_MODEL_MODEL_H
#define RP_MODEL_MODEL_H

#include "base/timeutil.h"
#include "model/catalog.h"
#include "model/command.h"
#include "model/heartbeat.h"
#include "model/job_spec.h"
#include "model/job_status.h"
#include "model/listed_machine.h"

#endif
