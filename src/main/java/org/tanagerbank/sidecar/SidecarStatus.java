package org.tanagerbank.sidecar;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tanagerbank.http.Json;
import org.tanagerbank.ledger.AnswerStore;
import org.tanagerbank.ledger.RequestLedger;
import org.tanagerbank.quarantine.Quarantine;

/**
 * What a sidecar tells of itself.
 *
 * @param settings its settings
 * @param config its configuration
 * @param gate its admission
 * @param ledger its ledger
 * @param answers its finished answers
 * @param quarantine its suspects
 * @param reporting its link to the entry it reports to
 */
record SidecarStatus(
    SidecarSettings settings,
    ConfigHolder config,
    AdmissionGate gate,
    RequestLedger<ServedRequest> ledger,
    AnswerStore answers,
    Quarantine quarantine,
    ReportingLink reporting) {

  boolean isReady() {
    return gate.isAccepting();
  }

  ObjectNode json() {
    return Json.object()
        .put("id", settings.id())
        .put("incarnation", settings.incarnation())
        .put("service", settings.service())
        .put("zone", settings.zone().name())
        .put("region", settings.zone().region())
        .put("revision", config.revision())
        .put("accepting", gate.isAccepting())
        .put("inFlight", gate.inFlight())
        .put("ledgerRecords", ledger.size())
        .put("ledgerKeys", ledger.keyCount())
        .put("answerBytes", answers.bytes())
        .put("suspects", quarantine.suspectCount())
        .put("reportingEntry", reporting.entryId());
  }

  /** Adds the gauges of a sidecar to its metrics. */
  void register(SidecarMetrics metrics) {
    metrics.gauge("in_flight_requests", "Requests in flight at the upstream.", gate::inFlight);
    metrics.gauge("ledger_records", "Request ids kept in the ledger.", ledger::size);
    metrics.gauge("ledger_keys", "Idempotency keys kept in the ledger.", ledger::keyCount);
    metrics.gauge("answer_bytes", "Bytes of finished answers kept.", answers::bytes);
    metrics.gauge("suspects", "Requests that must run alone.", quarantine::suspectCount);
    metrics.gauge("config_revision", "Revision of the configuration.", config::revision);
    metrics.gauge(
        "accepting", "1 when requests are admitted, otherwise 0.", () -> isReady() ? 1 : 0);
  }
}
