/// Identifier types used throughout the program.
#ifndef MULBERRY_IDS_HPP
#define MULBERRY_IDS_HPP

#include "strong_id.hpp"

namespace mulberry
{

/// An entry VM, by the name in its settings.
using vm_id = text_id<struct vm_tag>;
/// A failure domain (aswan-a, hcm-b).
using domain_id = text_id<struct domain_tag>;
/// A worker of a model engine: the unit that has adapter slots and runs a
/// batch.
using worker_id = text_id<struct worker_tag>;
/// A plain service beside the engines (recordsvc, split-api).
using service_id = text_id<struct service_tag>;
/// A worker of a plain service.
using service_worker_id = text_id<struct service_worker_tag>;
/// An application of a deployment; targets are declared per application.
using application_id = text_id<struct application_tag>;
/// A team: a part of a customer that has keys, a priority and an allotment.
using team_id = text_id<struct team_tag>;
/// An allotment: a rate that all VMs share, of a team or of a worker.
using allotment_id = text_id<struct allotment_tag>;
/// SHA-256 of a team's key, in hexadecimal; the key itself is not stored.
using key_digest = text_id<struct key_digest_tag>;
/// A base model shared by many adapters.
using base_model_id = text_id<struct base_model_tag>;
/// An adapter's name without its version.
using adapter_id = text_id<struct adapter_tag>;
/// A request, named by the entry VM that received it; unique across all VMs.
using request_id = text_id<struct request_tag>;
/// A digest of what is equal in all tries of a request, whichever caller or VM
/// makes them; see content_digest().
using request_digest = text_id<struct request_digest_tag>;
/// The Idempotency-Key that a caller sent.
using idempotency_key = text_id<struct idempotency_key_tag>;
/// The name under which an adapter is loaded on an engine.
using engine_name = text_id<struct engine_name_tag>;
/// One incarnation of a worker; changes at a cold restart.
using boot_id = text_id<struct boot_tag>;

/// One try of a request at one backend; unique within a process.
using attempt_id = number_id<struct attempt_tag>;
/// Identifies a request of a relay within a process.
using ticket_id = number_id<struct ticket_tag>;
/// One load or unload order; unique within a process.
using order_id = number_id<struct order_tag>;
/// One call of the table service; unique within a process.
using operation_id = number_id<struct operation_tag>;
/// The time at which a worker started, in Unix milliseconds; distinguishes the
/// incarnations of a worker with the same id. 0 if the worker did not report
/// the time.
using worker_start = number_id<struct worker_start_tag>;
/// One run of a VM's process; increases with each registration.
using incarnation = number_id<struct incarnation_tag>;
/// The version of a worker's software; empty if the worker states none. What
/// workers of two versions write of one stream does not fit together.
using software_version = text_id<struct software_version_tag>;
/// A fencing token; increases each time that the owner of a worker changes.
using fencing_number = number_id<struct fencing_tag>;
/// The version of a model's weights, from 1; 0 if unknown. A worker that loads
/// a model loads the newest version and keeps that version until the worker
/// unloads the model.
using weights_version = number_id<struct weights_version_tag>;
/// An adapter's immutable version, from 1.
using adapter_version = number_id<struct adapter_version_tag>;
/// The version of the confirmed configuration, from 1.
using config_version = number_id<struct config_version_tag>;
/// The version of a table row; 0 if the row is absent.
using row_version = number_id<struct row_version_tag>;

} // namespace mulberry

#endif
