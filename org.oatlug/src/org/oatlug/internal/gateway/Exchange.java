// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Function;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.Route;
import org.oatlug.internal.engine.HeadForecast;

/**
 * The way of one request: attempts at upstreams one after the other until one answers.
 *
 * <p>Invariants: at most one attempt is open; a request that may not be repeated is not sent again
 * once it may have run; a refusal that says "not run" is only given while no upstream may have run
 * the request; the final answer comes at the deadline at the latest. Used from one event loop.
 */
final class Exchange {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** When a refused caller may come back: about the time in which a place becomes free. */
  private static final Duration COME_BACK = Duration.ofMillis(300);

  /** Below this an attempt cannot bring an answer any more. */
  private static final Duration LEAST_TIME = Duration.ofMillis(30);

  /** So many attempts may end before anything was written until the request is given up. */
  private static final int MAXIMUM_UNSENT = 4;

  private static final long NO_TIMER = -1;

  private final GatewayParts parts;
  private final CallerAnswer answer;
  private final Incoming incoming;
  private final Route route;
  private final Set<String> tried = new HashSet<>();
  private final StreamRelay relay;
  private final CrashGuard.Guarded guarded;
  private long deadlineTimer = NO_TIMER;
  private int sent;
  private int unsent;
  private int stage;
  private boolean mayHaveRun;
  private Optional<String> lastFailed = Optional.empty();
  private Optional<VersionRule.Wish> wish = Optional.empty();
  private Optional<VersionBasis> firstBasis = Optional.empty();
  private ExchangeAttempt current;

  private Exchange(GatewayParts parts, CallerAnswer answer, Incoming incoming) {
    this.parts = parts;
    this.answer = answer;
    this.incoming = incoming;
    this.route = incoming.route();
    this.relay = StreamRelay.after(incoming.head().resumeAfter());
    this.guarded = parts.crashes().guard(incoming);
  }

  /** Starts the way of a request. */
  static void start(GatewayParts parts, CallerAnswer answer, Incoming incoming) {
    new Exchange(parts, answer, incoming).start();
  }

  private void start() {
    if (isRefusedAsCrashing()) {
      return;
    }
    deadlineTimer = parts.deadlines().at(incoming.deadline(), this::deadlinePassed);
    answer.onGone(this::callerGone);
    parts.budgets().of(incoming.service()).firstTry();
    stage = route.isCascade() ? parts.stages().first(route) : 0;
    parts.turns().enter(this);
  }

  /** Sends the request to its first upstream; returns whether it could still be served. */
  boolean begin() {
    if (answer.isEnded()) {
      return false;
    }
    if (answer.isCallerGone()) {
      parts.meters().count("request.withheld-caller-left");
      return false;
    }
    if (!hasTime()) {
      deadlinePassed();
      return false;
    }
    next();
    return true;
  }

  GatewayParts parts() {
    return parts;
  }

  CallerAnswer answer() {
    return answer;
  }

  Incoming incoming() {
    return incoming;
  }

  /** Returns the events that were handed on, by all attempts together. */
  StreamRelay relay() {
    return relay;
  }

  /** Returns how many attempts may have reached an upstream. */
  int sent() {
    return sent;
  }

  /** Returns how long the caller still waits. */
  Duration timeLeft() {
    return Duration.between(parts.clock().instant(), incoming.deadline());
  }

  /** Returns the guard's view of the request. */
  CrashGuard.Guarded guarded() {
    return guarded;
  }

  /** Refuses the request if upstreams end under it; what is known cannot change by a wait. */
  private boolean isRefusedAsCrashing() {
    Optional<Duration> comeBack = guarded.refusedFor();
    comeBack.ifPresent(
        wait -> {
          String text = ErrorText.format(ErrorText.get().crashesUpstreams, guarded.ended().size());
          log().log("request is %s, upstreams that ended under it %s", guarded, guarded.ended());
          giveUp(RefusalReason.CRASHES_UPSTREAMS, text, wait);
        });
    return comeBack.isPresent();
  }

  /** Sends the request to the next upstream, or gives it up if there is none. */
  void next() {
    if (isRefusedAsCrashing()) {
      return;
    }
    Optional<UpstreamSelection.Chosen> chosen = choose(model());
    if (chosen.isEmpty()) {
      giveUpWithoutUpstream();
      return;
    }
    attempt(chosen.get());
  }

  private void giveUpWithoutUpstream() {
    String service = incoming.service();
    RefusalReason reason =
        parts.selection().standing().reasonOfNone(service, parts.clock().instant());
    String pattern =
        switch (reason) {
          case ZONES_EMPTIED -> ErrorText.get().zonesEmptied;
          case UPSTREAMS_COLD -> ErrorText.get().upstreamsCold;
          case UPSTREAMS_REST -> ErrorText.get().upstreamsRest;
          case UPSTREAMS_LIMITED -> ErrorText.get().upstreamsLimited;
          default -> ErrorText.get().noUpstream;
        };
    String text = ErrorText.format(pattern, service);
    if (reason == RefusalReason.UPSTREAMS_LIMITED) {
      giveUp(reason, text, paced(service));
    } else {
      giveUp(reason, text);
    }
  }

  private Duration paced(String service) {
    double accepted = parts.rates().advertisedOf(service);
    return parts.spread().paced(service, accepted, parts.clock().instant());
  }

  private void attempt(UpstreamSelection.Chosen chosen) {
    wish.ifPresent(one -> noteVersion(one, chosen.upstream().version()));
    current = new ExchangeAttempt(this, chosen, model());
    current.send();
  }

  /** Says why the request goes to this version, while a roll-out runs. */
  private void noteVersion(VersionRule.Wish known, String version) {
    boolean met = known.isMetBy(version);
    if (!met) {
      parts.meters().count("version.wish-not-met");
    }
    known
        .basis()
        .ifPresent(
            basis ->
                log()
                    .log(
                        "version %s %s wanted=%b met=%b failed=%s",
                        version, basis, known.wanted(), met, lastFailed.orElse("-")));
  }

  private Optional<UpstreamSelection.Chosen> choose(Optional<String> model) {
    VersionRule.Tried before = new VersionRule.Tried(lastFailed, firstBasis);
    wish = parts.versions().wishFor(incoming.service(), incoming.head(), before);
    firstBasis = firstBasis.or(() -> wish.flatMap(VersionRule.Wish::basis));
    Optional<UpstreamSelection.Chosen> untried = chooseBut(model, tried);
    if (untried.isPresent() || current == null || !route.isRepeatable()) {
      return untried;
    }
    return chooseBut(model, Set.of(current.upstreamName()));
  }

  private Optional<UpstreamSelection.Chosen> chooseBut(
      Optional<String> model, Set<String> excluded) {
    UpstreamSelection.Wanted wanted =
        new UpstreamSelection.Wanted(
            incoming.service(),
            wish,
            model,
            incoming.head().generation(),
            incoming.body().length(),
            Set.copyOf(excluded),
            guarded.isSuspect());
    return parts.selection().choose(wanted, parts.clock().instant());
  }

  /** Returns what the request says of itself. */
  Generation generation() {
    return incoming.head().generation().orElse(Generation.UNKNOWN);
  }

  /** Returns how long the caller has waited. */
  Duration elapsed() {
    return Duration.between(incoming.arrived(), parts.clock().instant());
  }

  private Optional<String> model() {
    return route.isCascade() ? Optional.of(route.models().get(stage)) : Optional.empty();
  }

  /** Notes that an attempt goes out to the upstream. */
  void noteSent(String upstream) {
    sent++;
    tried.add(upstream);
  }

  /** Notes that an upstream may have run the request. */
  void noteMayHaveRun() {
    mayHaveRun = true;
  }

  /** Notes which version failed the request last. */
  void noteFailedVersion(String version) {
    lastFailed = Optional.of(version);
  }

  /**
   * Goes on after an attempt of which nothing was written; that takes no retry out of the budget.
   *
   * @param cause the counter of its cause
   */
  void notSent(String cause) {
    sent--;
    unsent++;
    parts.meters().count(cause);
    if (unsent < MAXIMUM_UNSENT && timeLeft().compareTo(LEAST_TIME) > 0) {
      next();
    } else {
      giveUp(RefusalReason.NO_UPSTREAM, ErrorText.get().upstreamBroke);
    }
  }

  /**
   * A model of the cascade that is worth asking, and the upstream to ask.
   *
   * @param stage the place of the model in the cascade
   * @param chosen the upstream
   */
  record Replacement(int stage, UpstreamSelection.Chosen chosen) {}

  /** Returns what to ask instead of taking an answer of this confidence, empty to take it. */
  Optional<Replacement> replacementOf(int confidence) {
    Map<String, Optional<UpstreamSelection.Chosen>> known = new HashMap<>();
    Function<String, Optional<UpstreamSelection.Chosen>> best =
        name -> known.computeIfAbsent(name, other -> choose(Optional.of(other)));
    StageRule.Poor poor =
        new StageRule.Poor(
            route,
            incoming.service(),
            generation(),
            stage,
            confidence,
            elapsed(),
            name ->
                best.apply(name)
                    .map(UpstreamSelection.Chosen::forecast)
                    .orElse(HeadForecast.NEVER));
    OptionalInt instead = parts.stages().insteadOf(poor);
    if (instead.isEmpty()) {
      return Optional.empty();
    }
    return best.apply(route.models().get(instead.getAsInt()))
        .map(chosen -> new Replacement(instead.getAsInt(), chosen));
  }

  /** Goes on with another model of the cascade. */
  void nextAt(Replacement replacement) {
    if (isRefusedAsCrashing()) {
      return;
    }
    stage = replacement.stage();
    attempt(replacement.chosen());
  }

  /**
   * Returns whether the request may be sent once more, and takes the retry out of the budget then.
   *
   * @param cause the word under which the retry is counted
   */
  boolean mayTryAgain(String cause) {
    boolean inTime = timeLeft().compareTo(LEAST_TIME) > 0;
    if (sent >= route.maximumAttempts() || !inTime) {
      parts.meters().count("retry.no-attempt-left");
      return false;
    }
    if (!parts.budgets().of(incoming.service()).takeRetry()) {
      parts.meters().count("retry.not-in-budget");
      return false;
    }
    parts.meters().count("retry." + cause);
    return true;
  }

  /** Refuses the request; says "not run" only while no upstream may have run it. */
  void giveUp(RefusalReason reason, String text) {
    giveUp(reason, text, rested().orElse(COME_BACK));
  }

  private void giveUp(RefusalReason reason, String text, Duration comeBack) {
    Refusal refusal =
        mayHaveRun
            ? Refusal.unknown(RefusalReason.UPSTREAM_FAILED, text)
            : Refusal.retryAfter(reason, text, comeBack);
    refuse(refusal);
  }

  /** Gives the request up after its last upstream refused it. */
  void giveUpAsRefused() {
    if (rested().isPresent()) {
      giveUpWithoutUpstream();
    } else {
      giveUp(RefusalReason.UPSTREAM_REFUSED, ErrorText.get().upstreamRefused);
    }
  }

  /**
   * Returns when callers may come back while all upstreams want rest: from the soonest end on,
   * spread, so that they do not all return at that moment and are refused anew.
   */
  private Optional<Duration> rested() {
    return parts
        .selection()
        .standing()
        .soonestRested(incoming.service(), parts.clock().instant())
        .map(parts.spread()::after);
  }

  private void refuse(Refusal refusal) {
    finish("refused " + refusal.reason().text() + ": " + refusal.detail());
    parts.meters().refused(refusal.reason());
    answer.refuse(refusal, incoming.head().id());
  }

  /** Notes that the way ends, before its answer does. */
  void finish(String outcome) {
    parts.deadlines().cancel(deadlineTimer);
    Duration took = elapsed();
    parts.meters().time("request." + route.kind().name().toLowerCase(Locale.ROOT), took);
    log()
        .log(
            "request ended route=%s outcome=%s sent=%d stage=%d events=%d millis=%d",
            route.name(), outcome, sent, stage, relay.events(), took.toMillis());
  }

  /** Returns a log line about the request, within the bound of such lines. */
  FluentLogger.Api log() {
    return parts.logLimit().line(logger, incoming.head().id());
  }

  /** Returns whether an attempt can still bring an answer. */
  boolean hasTime() {
    return timeLeft().compareTo(LEAST_TIME) >= 0;
  }

  /** Ends the request, whose time is over. */
  void deadlinePassed() {
    if (answer.isEnded()) {
      return;
    }
    boolean ran = mayHaveRun || current != null && current.isOpen();
    if (current != null) {
      current.abandon();
    }
    String text = ErrorText.get().deadlinePassed;
    refuse(
        ran
            ? Refusal.unknown(RefusalReason.DEADLINE_PASSED, text)
            : Refusal.retryAfter(RefusalReason.OVERLOADED, text, COME_BACK));
  }

  private void callerGone() {
    if (current != null) {
      current.abandon();
    }
    finish("caller gone");
    parts.meters().count("request.caller-gone");
  }
}
