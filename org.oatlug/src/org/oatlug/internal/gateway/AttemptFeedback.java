// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.oatlug.gateway.AnswerHead;
import org.oatlug.internal.engine.HeadForecast;
import org.oatlug.internal.table.UpstreamRow;

/**
 * Tells the tables, and what is learned of upstreams, models and versions, how one attempt goes.
 *
 * <p>Invariants: the upstream's row holds a reservation, the prompt counts as one that waits, and
 * leave to write to a cold upstream is held from {@link #begin} until they end, and not longer;
 * everything is told of the start of the upstream that was chosen, also if another process has its
 * name by then. Used from one event loop.
 */
final class AttemptFeedback {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final GatewayParts parts;
  private final Incoming incoming;
  private final UpstreamSelection.Chosen chosen;
  private final String model;
  private final String process;
  private final Instant started;
  private Optional<RateGate.Reservation> reservation = Optional.empty();
  private Optional<Instant> written = Optional.empty();
  private boolean reading;

  AttemptFeedback(
      GatewayParts parts,
      Incoming incoming,
      UpstreamSelection.Chosen chosen,
      Optional<String> model) {
    this.parts = parts;
    this.incoming = incoming;
    this.chosen = chosen;
    this.model = model.orElse("");
    this.process = chosen.row().process();
    this.started = now();
  }

  private Instant now() {
    return parts.clock().instant();
  }

  /** Returns when the attempt began. */
  Instant started() {
    return started;
  }

  /** Returns how long ago the attempt began. */
  Duration took() {
    return Duration.between(started, now());
  }

  /** Notes that the attempt begins. */
  void begin() {
    chosen.row().reserve();
    reservation = Optional.of(parts.rates().reserve(chosen.name(), chosen.upstream(), started));
    reading = true;
    parts.reading().begin(process, chosen.forecast().readingMillis());
    parts.versions().sent(incoming.service(), chosen.upstream().version(), incoming.head());
    incoming
        .head()
        .generation()
        .ifPresent(text -> UpstreamSelection.rememberPrompt(chosen.row(), model, text));
  }

  /**
   * Records that the request is written now, if the rate limits of the upstream leave room for it.
   *
   * @return why it may not be written, empty if it may
   */
  Optional<UpstreamStanding.Out> write() {
    Instant now = now();
    Optional<UpstreamStanding.Out> refused = reservation.flatMap(one -> one.write(now));
    if (refused.isEmpty()) {
      written = Optional.of(now);
    }
    return refused;
  }

  /** Notes that the answer begins, whatever it is. */
  void headCame(AnswerHead head) {
    endReading();
    parts.zones().reached(chosen.upstream().zone());
    head.load()
        .ifPresent(
            load ->
                parts.tables().loads().report(chosen.row(), load.running(), load.waiting(), false));
    head.coldMillis().ifPresent(millis -> chosen.row().coldUntil(now().plusMillis(millis)));
    head.rest().ifPresent(this::askedForRest);
    noteLimit(head);
    if (head.leaving()) {
      saidLeaving(head);
    }
  }

  private void askedForRest(Duration rest) {
    parts.meters().count("upstream.asked-for-rest");
    chosen.row().restUntil(now().plus(rest));
  }

  /** Applies the limit that who answered advertises, or that it advertises none. */
  private void noteLimit(AnswerHead head) {
    rowOfAnswer(head)
        .ifPresent(
            row -> {
              head.limitPerSecond()
                  .ifPresentOrElse(
                      limit -> limited(row, limit),
                      () -> written.ifPresent(at -> notLimited(row, at)));
            });
  }

  private void limited(UpstreamRow row, double requestsPerSecond) {
    parts.meters().count("upstream.limit-advertised");
    parts.limits().advertised(row.process(), requestsPerSecond);
  }

  private void notLimited(UpstreamRow row, Instant requestWritten) {
    parts.limits().notAdvertised(row.process(), requestWritten);
  }

  /** Returns the row of who answered, empty if it is a name that nobody registered. */
  private Optional<UpstreamRow> rowOfAnswer(AnswerHead head) {
    String name = head.answeredBy().orElse(chosen.name());
    if (name.equals(chosen.name())) {
      return Optional.of(chosen.row());
    }
    return parts.tables().upstream(name).map(unused -> parts.tables().row(name));
  }

  /**
   * Marks who answered as leaving; another upstream may have the address by now. A name that nobody
   * registered is not kept.
   */
  private void saidLeaving(AnswerHead head) {
    rowOfAnswer(head)
        .filter(row -> !row.leaving())
        .ifPresent(
            row -> {
              parts.meters().count("upstream.said-leaving");
              logger.atInfo().log("upstream %s says in an answer that it leaves", row.name());
              row.markLeaving();
            });
  }

  private void endReading() {
    if (reading) {
      reading = false;
      parts.reading().end(process, chosen.forecast().readingMillis());
    }
  }

  /** Notes that the attempt is over. */
  void end() {
    endReading();
    chosen.row().release();
    reservation.ifPresent(RateGate.Reservation::release);
  }

  /** Notes that the upstream did what it should. */
  void succeeded() {
    chosen.row().succeeded(now());
  }

  /** Notes that the upstream failed. */
  void failed() {
    chosen.row().failed(now());
  }

  /** Notes that the upstream refused the request for its load. */
  void refused() {
    chosen.row().refused(now());
  }

  /** Notes that the upstream could not be reached. */
  void notReached() {
    parts.zones().notReached(chosen.upstream().zone(), chosen.name(), now());
  }

  /** Tells the rule of versions what the upstream's version made of the request. */
  void outcome(boolean bad) {
    parts
        .versions()
        .answered(
            new VersionRule.Answer(
                incoming.service(),
                chosen.upstream().version(),
                incoming.route(),
                model,
                bad,
                took()));
  }

  /** Tells the rule of versions how fast the upstream's version makes the stream. */
  void pace(double millisPerEvent) {
    parts
        .versions()
        .paced(
            new VersionRule.Pace(
                incoming.service(),
                chosen.upstream().version(),
                incoming.route(),
                model,
                millisPerEvent));
  }

  /** Learns from the time to the head, and notes by how much the forecast missed it. */
  void speed() {
    parts.times().headTook(kind(), took());
    HeadForecast forecast = chosen.forecast();
    if (forecast.equals(HeadForecast.NONE)) {
      return;
    }
    Duration late = took().minus(forecast.timeToHead());
    parts.meters().time(late.isNegative() ? "forecast.early" : "forecast.late", late.abs());
    parts.speeds().answered(process, model, forecast, took(), now());
  }

  /** Notes how long the stream paused. */
  void paused(Duration pause) {
    parts.times().paused(kind(), pause.toMillis());
  }

  /** Returns how long the upstream may be silent before its answer begins. */
  Duration headPatience() {
    return parts.times().headPatience(kind());
  }

  /** Returns how long the upstream may be silent between the events of a stream. */
  Duration pausePatience() {
    return parts.times().pausePatience(kind());
  }

  private AnswerTimes.Kind kind() {
    return new AnswerTimes.Kind(incoming.route(), model, chosen.forecast().timeToHead());
  }
}
