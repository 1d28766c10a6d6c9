// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.oatlug.gateway.ResponseHead;
import org.oatlug.internal.engine.FirstTokenForecast;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.util.ConnectTimes;

/**
 * Records the progress and outcome of one attempt in the state of upstreams, models and versions.
 *
 * <p>Invariants: from {@link #begin} on the attempt holds a reservation in the row of the upstream
 * and rate limit permits until {@link #end}, and its prompt counts as queued until the response
 * begins or the attempt ends; everything is recorded for the process that was selected, even if
 * another process has taken its name since. Used from one event loop.
 */
final class AttemptFeedback {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The back-off from a brittle upstream that rejected a request: it counts those of a second. */
  private static final Duration BRITTLE_BACK_OFF = Duration.ofSeconds(1);

  private final GatewayComponents components;
  private final AdmittedRequest request;
  private final UpstreamSelection.CostedUpstream chosen;
  private final String model;
  private final String process;
  private final Instant started;
  private Optional<UpstreamRateLimits.Reservation> reservation = Optional.empty();
  private Optional<Instant> writtenAt = Optional.empty();
  private Optional<ConnectTimes.Connect> connect = Optional.empty();
  private boolean promptQueued;

  AttemptFeedback(
      GatewayComponents components,
      AdmittedRequest request,
      UpstreamSelection.CostedUpstream chosen,
      Optional<String> model) {
    this.components = components;
    this.request = request;
    this.chosen = chosen;
    this.model = model.orElse("");
    this.process = chosen.row().process();
    this.started = now();
  }

  private Instant now() {
    return components.clock().instant();
  }

  /** Returns the start time of the attempt. */
  Instant started() {
    return started;
  }

  /** Returns the time since the start of the attempt. */
  Duration elapsed() {
    return Duration.between(started, now());
  }

  /** Records that the attempt begins, and reserves load, queue time and rate limit permits. */
  void begin() {
    chosen.row().reserve();
    connect = Optional.of(components.connectTimes().begin(request.service(), chosen.name()));
    reservation =
        Optional.of(components.rates().reserve(chosen.name(), chosen.upstream(), started));
    promptQueued = true;
    countPacing();
    components.prefillBacklog().begin(process, pendingMillis());
    components.workMeter().recordAttempt(request, pendingMillis());
    components
        .versions()
        .recordSent(request.service(), chosen.upstream().version(), request.head());
    request
        .head()
        .generation()
        .ifPresent(generation -> UpstreamSelection.recordPrompt(chosen.row(), model, generation));
  }

  /**
   * Returns the prefill time that counts as pending. With paces in use it is that of an upstream of
   * pace 1, because forecasts multiply the pending time by the pace.
   */
  private double pendingMillis() {
    return chosen.forecast().prefillMillis() / chosen.applied().forecastFactor();
  }

  private void countPacing() {
    if (chosen.applied().tieBroken()) {
      components.meters().count("pace.tie-broken");
    }
    if (chosen.applied().active() && !otherZone().isEmpty()) {
      components.meters().count("pace.other-zone");
    }
  }

  /** Returns the zone of the upstream, empty if it is that of this instance. */
  private String otherZone() {
    String zone = chosen.upstream().zone();
    return zone.equals(components.settings().zone()) ? "" : zone;
  }

  /**
   * Records that the request is written now, if the rate limits of the upstream allow it.
   *
   * @return the reason why it must not be written, empty if it may be
   */
  Optional<UpstreamEligibility.Exclusion> write() {
    Instant now = now();
    Optional<UpstreamEligibility.Exclusion> refused =
        reservation.flatMap(reserved -> reserved.write(now));
    if (refused.isEmpty()) {
      writtenAt = Optional.of(now);
    }
    return refused;
  }

  /** Records that the response begins, whatever its status, and applies the state it reports. */
  void responseHeadReceived(ResponseHead head) {
    dequeuePrompt();
    components.zones().recordResponse(chosen.upstream().zone());
    head.load().ifPresent(this::recordLoad);
    head.coldMillis().ifPresent(millis -> chosen.row().extendColdStart(now().plusMillis(millis)));
    head.backOff().ifPresent(this::recordBackOff);
    applyLimit(head);
    if (head.leaving()) {
      recordLeaving(head);
    }
  }

  private void recordLoad(ResponseHead.Load load) {
    components.tables().upstreamTable().report(chosen.row(), load.running(), load.waiting(), false);
    components.pacing().recordLoad(request.service(), process, load, now());
  }

  private void recordBackOff(Duration backOff) {
    components.meters().count("upstream.asked-for-rest");
    chosen.row().extendBackOff(now().plus(backOff));
  }

  /** Applies the rate limit that the response advertises, or records that there is none. */
  private void applyLimit(ResponseHead head) {
    rowOfResponse(head)
        .ifPresent(
            row -> {
              head.limitPerSecond()
                  .ifPresentOrElse(
                      limit -> recordLimit(row, limit),
                      () -> writtenAt.ifPresent(at -> recordNoLimit(row, at)));
              head.bearableRejections()
                  .ifPresentOrElse(
                      limit -> recordBrittle(row, limit),
                      () -> writtenAt.ifPresent(at -> recordNotBrittle(row, at)));
            });
  }

  private void recordBrittle(UpstreamRow row, double rejectionsPerSecond) {
    components.meters().count("upstream.brittle");
    components.brittle().advertised(row.process(), rejectionsPerSecond);
  }

  private void recordNotBrittle(UpstreamRow row, Instant requestWritten) {
    components.brittle().notAdvertised(row.process(), requestWritten);
  }

  private void recordLimit(UpstreamRow row, double requestsPerSecond) {
    components.meters().count("upstream.limit-advertised");
    components.limits().advertised(row.process(), requestsPerSecond);
  }

  private void recordNoLimit(UpstreamRow row, Instant requestWritten) {
    components.limits().notAdvertised(row.process(), requestWritten);
  }

  /** Returns the row of the upstream that responded, empty if its name is not registered. */
  private Optional<UpstreamRow> rowOfResponse(ResponseHead head) {
    String name = head.answeredBy().orElse(chosen.name());
    if (name.equals(chosen.name())) {
      return Optional.of(chosen.row());
    }
    return components.tables().upstream(name).map(unused -> components.tables().row(name));
  }

  /**
   * Marks the upstream that responded as leaving; it may differ from the selected one, because the
   * address may have been reassigned. A name that is not registered is ignored.
   */
  private void recordLeaving(ResponseHead head) {
    rowOfResponse(head)
        .filter(row -> !row.isLeaving())
        .ifPresent(
            row -> {
              components.meters().count("upstream.said-leaving");
              logger.atInfo().log(
                  "upstream %s announced in a response that it is leaving", row.name());
              row.markLeaving();
            });
  }

  private void dequeuePrompt() {
    if (promptQueued) {
      promptQueued = false;
      components.prefillBacklog().end(process, pendingMillis());
      components.requestQueue().roomMayBeFree();
    }
  }

  /** Releases the reservations of the attempt. */
  void end() {
    dequeuePrompt();
    connect.ifPresent(ConnectTimes.Connect::abandoned);
    chosen.row().release();
    reservation.ifPresent(UpstreamRateLimits.Reservation::release);
    components.requestQueue().roomMayBeFree();
  }

  /** Records a success of the upstream. */
  void recordSuccess() {
    chosen.row().recordSuccess(now());
  }

  /** Records a failure of the upstream. */
  void recordFailure() {
    chosen.row().recordFailure(now());
  }

  /** Records that the upstream refused the request because of its load. */
  void recordRefusal() {
    chosen.row().recordRefusal(now());
    if (components.brittle().limitOf(process).isPresent()) {
      components.meters().count("upstream.brittle-rejected");
      chosen.row().extendBackOff(now().plus(BRITTLE_BACK_OFF));
    }
  }

  /** Records that the connection to the upstream has opened. */
  void connected() {
    connect.ifPresent(ConnectTimes.Connect::opened);
    components.paths().recordOpened(request.service());
  }

  /** Records that bytes of the response were received. */
  void received() {
    components.connectTimes().recordReceived(request.service());
    components.paths().recordReceived(request.service());
  }

  /** Records that the connect timed out, whether or not that is evidence about the upstream. */
  void connectTimedOut() {
    components.meters().count("connect.timeout");
    connect.ifPresent(ConnectTimes.Connect::timedOut);
  }

  /** Records that no connection to the upstream could be opened. */
  void connectFailed() {
    components.paths().recordFailure(request.service(), chosen.name(), started);
    components.zones().recordConnectFailure(chosen.upstream().zone(), chosen.name(), now());
  }

  /** Reports the outcome of the request on the upstream's version to the version rule. */
  void recordOutcome(boolean failed) {
    components.versions().recordResponse(versionResponse(failed));
  }

  /** Reports to the version rule that the request ended before its answer began. */
  void recordUnanswered() {
    components.versions().recordUnanswered(versionResponse(false));
  }

  private VersionRule.Response versionResponse(boolean failed) {
    return new VersionRule.Response(
        request.service(), chosen.upstream().version(), request.route(), model, failed, elapsed());
  }

  /** Reports the event interval of a stream of the upstream's version to the version rule. */
  void recordEventInterval(double millisPerEvent) {
    components
        .versions()
        .recordEventInterval(
            new VersionRule.EventInterval(
                request.service(),
                chosen.upstream().version(),
                request.route(),
                model,
                millisPerEvent));
    components.pacing().recordEventInterval(chosen, process, model, millisPerEvent, now());
  }

  /** Updates the estimates with the time to the response head, and records the forecast error. */
  void recordTimeToHead() {
    components.times().recordHeadTime(timesKey(), elapsed());
    FirstTokenForecast forecast = chosen.forecast();
    if (forecast.equals(FirstTokenForecast.NONE)) {
      components.pacing().recordResponse(chosen, process, otherZone(), elapsed(), now());
      return;
    }
    Duration error = elapsed().minus(forecast.timeToFirstToken());
    components.meters().time(error.isNegative() ? "forecast.early" : "forecast.late", error.abs());
    components
        .prefillEstimates()
        .recordTimeToFirstToken(process, model, forecast, elapsed(), now());
    components.pacing().recordFirstToken(chosen, process, elapsed(), now());
  }

  /** Records a pause between events of the stream. */
  void recordPause(Duration pause) {
    components.times().recordPause(timesKey(), pause.toMillis());
  }

  /** Returns the timeout until the response begins. */
  Duration headTimeout() {
    return components.times().headTimeout(timesKey());
  }

  /** Returns the timeout between two events of a stream. */
  Duration pauseTimeout() {
    return components.times().pauseTimeout(timesKey());
  }

  private ResponseTimes.Key timesKey() {
    return new ResponseTimes.Key(request.route(), model, chosen.forecast().timeToFirstToken());
  }
}
