/// The identifiers that every part shares.
#ifndef MULBERRY_IDS_HPP
#define MULBERRY_IDS_HPP

#include "strong_id.hpp"

namespace mulberry
{

/// An entry VM, by the name its settings give it.
using vm_id = text_id<struct vm_tag>;
/// A failure domain (aswan-a, hcm-b).
using domain_id = text_id<struct domain_tag>;
/// A model engine's worker, the unit that holds adapter slots and a batch.
using worker_id = text_id<struct worker_tag>;
/// A plain service beside the engines (recordsvc, split-api).
using service_id = text_id<struct service_tag>;
/// One of a plain service's workers.
using service_worker_id = text_id<struct service_worker_tag>;
/// An application of a deployment, the unit that targets are set for.
using application_id = text_id<struct application_tag>;
/// A team: a customer's part that has keys, a priority and an allotment.
using team_id = text_id<struct team_tag>;
/// SHA-256 of a team's key, in hexadecimal; the key itself is not kept.
using key_digest = text_id<struct key_digest_tag>;
/// A base model shared by many adapters.
using base_model_id = text_id<struct base_model_tag>;
/// An adapter's name without its version.
using adapter_id = text_id<struct adapter_tag>;
/// A request as the entry VM that took it names it; unique over all VMs.
using request_id = text_id<struct request_tag>;
/// What is the same in every try of a request, whoever makes it; see
/// content_digest().
using request_digest = text_id<struct request_digest_tag>;
/// The caller's own Idempotency-Key.
using idempotency_key = text_id<struct idempotency_key_tag>;
/// The name under which an adapter is loaded on an engine.
using engine_name = text_id<struct engine_name_tag>;
/// Identifies one process life of one worker; it changes at a cold restart.
using boot_id = text_id<struct boot_tag>;

/// One try of a request at one back end; unique within a process.
using attempt_id = number_id<struct attempt_tag>;
/// One load or unload order; unique within a process.
using order_id = number_id<struct order_tag>;
/// One call of the table service; unique within a process.
using operation_id = number_id<struct operation_tag>;
/// When a worker started, in Unix milliseconds: tells its lives under one id
/// apart. 0 where it did not say.
using worker_start = number_id<struct worker_start_tag>;
/// One life of a VM's process. It rises with each registration.
using incarnation = number_id<struct incarnation_tag>;
/// A fencing token: rises each time a worker changes owner.
using fencing_number = number_id<struct fencing_tag>;
/// The version of a model's weights, from 1; 0 where it is not known. A worker
/// loads the newest when it loads the model, and keeps it until it unloads it.
using weights_version = number_id<struct weights_version_tag>;
/// An adapter's immutable version, from 1.
using adapter_version = number_id<struct adapter_version_tag>;
/// The version of the confirmed configuration, from 1.
using config_version = number_id<struct config_version_tag>;
/// A table row's version; 0 means that the row is absent.
using row_version = number_id<struct row_version_tag>;

} // namespace mulberry

#endif
