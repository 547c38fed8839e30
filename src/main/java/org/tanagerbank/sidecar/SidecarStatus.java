package org.tanagerbank.sidecar;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tanagerbank.http.Json;
import org.tanagerbank.ledger.AnswerRetention;
import org.tanagerbank.ledger.RequestLedger;
import org.tanagerbank.quarantine.Quarantine;

/**
 * The state of a sidecar as its status page, its readiness check and its gauges report it.
 *
 * <p>Each value is read from its component at the time of the call, so the values of one page need
 * not be from the same instant. Thread-safe.
 *
 * @param settings the settings that the sidecar was started with
 * @param config the declaration of the service, with its revision
 * @param admission the admission control, which counts the requests in flight
 * @param ledger the ledger of request ids and idempotency keys
 * @param answerStore the account of the finished answers that are kept
 * @param quarantine the suspects and quarantined requests
 * @param reportingLink the link to the entry that the sidecar reports to
 */
record SidecarStatus(
    SidecarSettings settings,
    ConfigHolder config,
    AdmissionController admission,
    RequestLedger<UpstreamRun> ledger,
    AnswerRetention answerRetention,
    Quarantine quarantine,
    ReportingLink reportingLink) {

  boolean isReady() {
    return admission.isAccepting();
  }

  ObjectNode json() {
    return Json.object()
        .put("id", settings.id())
        .put("incarnation", settings.incarnation())
        .put("service", settings.service())
        .put("zone", settings.zone().name())
        .put("region", settings.zone().region())
        .put("revision", config.revision())
        .put("accepting", admission.isAccepting())
        .put("inFlight", admission.inFlight())
        .put("ledgerRecords", ledger.size())
        .put("ledgerKeys", ledger.keyCount())
        .put("answerBytes", answerRetention.bytes())
        .put("suspects", quarantine.suspectCount())
        .put("reportingEntry", reportingLink.entryId());
  }

  /** Registers the gauges that read this status. */
  void registerGauges(SidecarMetrics metrics) {
    metrics.registerGauge(
        "in_flight_requests", "Requests in flight at the upstream.", admission::inFlight);
    metrics.registerGauge("ledger_records", "Request ids kept in the ledger.", ledger::size);
    metrics.registerGauge("ledger_keys", "Idempotency keys kept in the ledger.", ledger::keyCount);
    metrics.registerGauge(
        "answer_bytes", "Bytes of finished answers kept.", answerRetention::bytes);
    metrics.registerGauge("suspects", "Requests that must run alone.", quarantine::suspectCount);
    metrics.registerGauge("config_revision", "Revision of the configuration.", config::revision);
    metrics.registerGauge(
        "accepting", "1 when requests are admitted, otherwise 0.", () -> isReady() ? 1 : 0);
  }
}
