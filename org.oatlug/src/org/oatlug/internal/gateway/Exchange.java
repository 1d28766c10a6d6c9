// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.UpstreamFailedException.Progress;
import org.oatlug.gateway.AnswerHead;
import org.oatlug.gateway.AttemptTerms;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.RouteKind;
import org.oatlug.gateway.WorkspaceKeys;
import org.oatlug.internal.util.LogKeys;

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

  /** How often a connection may fail to open before the request is given up. */
  private static final int MAXIMUM_UNREACHED = 4;

  private static final long NO_TIMER = -1;
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int OK = 200;

  private final GatewayParts parts;
  private final CallerAnswer answer;
  private final Incoming incoming;
  private final Route route;
  private final Set<String> tried = new HashSet<>();
  private final StreamRelay relay;
  private long deadlineTimer;
  private int sent;
  private int unreached;
  private int stage;
  private boolean mayHaveRun;
  private Optional<String> lastFailed = Optional.empty();
  private Attempt current;

  private Exchange(GatewayParts parts, CallerAnswer answer, Incoming incoming) {
    this.parts = parts;
    this.answer = answer;
    this.incoming = incoming;
    this.route = incoming.route();
    this.relay = StreamRelay.after(incoming.head().resumeAfter());
  }

  /** Starts the way of a request. */
  static Exchange start(GatewayParts parts, CallerAnswer answer, Incoming incoming) {
    Exchange exchange = new Exchange(parts, answer, incoming);
    exchange.start();
    return exchange;
  }

  private void start() {
    long left = Math.max(1, timeLeft().toMillis());
    deadlineTimer = parts.vertx().setTimer(left, unused -> deadlinePassed());
    answer.onGone(this::callerGone);
    parts.budgets().of(incoming.service()).firstTry();
    stage = route.isCascade() ? parts.stages().first(route) : 0;
    next();
  }

  private Duration timeLeft() {
    return Duration.between(parts.clock().instant(), incoming.deadline());
  }

  private void next() {
    Optional<UpstreamSelection.Chosen> chosen = choose();
    if (chosen.isEmpty()) {
      String text = ErrorText.format(ErrorText.get().noUpstream, incoming.service());
      giveUp(RefusalReason.NO_UPSTREAM, text);
      return;
    }
    current = new Attempt(chosen.get(), model());
    current.send();
  }

  private Optional<UpstreamSelection.Chosen> choose() {
    Optional<VersionRule.Wish> version =
        parts.versions().wishFor(incoming.service(), incoming.head(), lastFailed);
    Optional<Generation> generation = incoming.head().generation();
    Optional<UpstreamSelection.Chosen> untried = chooseBut(version, generation, tried);
    if (untried.isPresent() || current == null || !route.isRepeatable()) {
      return untried;
    }
    return chooseBut(version, generation, Set.of(current.chosen.name()));
  }

  private Optional<UpstreamSelection.Chosen> chooseBut(
      Optional<VersionRule.Wish> version, Optional<Generation> generation, Set<String> excluded) {
    UpstreamSelection.Wanted wanted =
        new UpstreamSelection.Wanted(
            incoming.service(), version, model(), generation, Set.copyOf(excluded));
    return parts.selection().choose(wanted, parts.clock().instant());
  }

  private Generation generation() {
    return incoming.head().generation().orElse(Generation.UNKNOWN);
  }

  private Duration elapsed() {
    return Duration.between(incoming.arrived(), parts.clock().instant());
  }

  private Optional<String> model() {
    return route.isCascade() ? Optional.of(route.models().get(stage)) : Optional.empty();
  }

  private boolean mayTryAgain(String cause) {
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

  private void giveUp(RefusalReason reason, String text) {
    Refusal refusal =
        mayHaveRun
            ? Refusal.unknown(RefusalReason.UPSTREAM_FAILED, text)
            : Refusal.retryAfter(reason, text, COME_BACK);
    refuse(refusal);
  }

  private void refuse(Refusal refusal) {
    finish("refused " + refusal.reason().text() + ": " + refusal.detail());
    parts.meters().refused(refusal.reason());
    answer.refuse(refusal, incoming.head().id());
  }

  private void finish(String outcome) {
    parts.vertx().cancelTimer(deadlineTimer);
    Duration took = elapsed();
    parts.meters().time("request." + route.kind().name().toLowerCase(Locale.ROOT), took);
    log()
        .log(
            "request ended route=%s outcome=%s sent=%d stage=%d events=%d millis=%d",
            route.name(), outcome, sent, stage, relay.events(), took.toMillis());
  }

  private FluentLogger.Api log() {
    FluentLogger.Api line = parts.logLimit().allows() ? logger.atInfo() : logger.atFinest();
    return line.with(LogKeys.REQUEST_ID, incoming.head().id());
  }

  private void deadlinePassed() {
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

  /** One attempt at one upstream, and what becomes of its answer. */
  private final class Attempt implements UpstreamAttempt.Listener {
    private final UpstreamSelection.Chosen chosen;
    private final Optional<String> model;
    private final Instant started = parts.clock().instant();
    private final Buffer body = Buffer.buffer();
    private UpstreamAttempt link;
    private HttpClientResponse response;
    private boolean streaming;
    private boolean released;
    private boolean paused;
    private long silenceTimer = NO_TIMER;
    private Instant lastHeard = started;

    Attempt(UpstreamSelection.Chosen chosen, Optional<String> model) {
      this.chosen = chosen;
      this.model = model;
    }

    boolean isOpen() {
      return !released;
    }

    void send() {
      chosen.row().reserve();
      sent++;
      tried.add(chosen.name());
      parts.versions().sent(incoming.service(), chosen.upstream().version(), incoming.head());
      MultiMap headers = MultiMap.caseInsensitiveMultiMap().addAll(incoming.headers());
      parts.adapter().upstreams().addTerms(headers, terms());
      incoming
          .head()
          .generation()
          .ifPresent(
              text -> UpstreamSelection.rememberPrompt(chosen.row(), model.orElse(""), text));
      log()
          .log(
              "attempt=%d route=%s upstream=%s version=%s model=%s load=%d left=%d after=%s",
              sent,
              route.name(),
              chosen.name(),
              chosen.upstream().version(),
              model.orElse("-"),
              chosen.row().expectedLoad(),
              timeLeft().toMillis(),
              relay.last());
      SocketAddress address =
          SocketAddress.inetSocketAddress(chosen.upstream().port(), chosen.upstream().host());
      UpstreamAttempt.Call call =
          new UpstreamAttempt.Call(
              address,
              incoming.method(),
              incoming.uri(),
              headers,
              incoming.body(),
              incoming.hasBody());
      link = UpstreamAttempt.start(parts.client(), call, this);
      if (route.isRepeatable() && !released) {
        watchSilence();
      }
    }

    /** Ends the attempt when the upstream is silent for too long; asks again then. */
    private void watchSilence() {
      Duration silent = Duration.between(lastHeard, parts.clock().instant());
      long left = patience().minus(silent).toMillis();
      silenceTimer = parts.vertx().setTimer(Math.max(1, left), unused -> silenceDue());
    }

    private AnswerTimes.Kind kind() {
      return new AnswerTimes.Kind(route, model.orElse(""), generation().promptTokens());
    }

    private Duration patience() {
      return response == null
          ? parts.times().headPatience(kind())
          : parts.times().pausePatience(kind());
    }

    private void silenceDue() {
      silenceTimer = NO_TIMER;
      if (released) {
        return;
      }
      Duration silent = Duration.between(lastHeard, parts.clock().instant());
      boolean lost = silent.compareTo(patience()) >= 0 && !paused;
      if (!lost) {
        lastHeard = paused ? parts.clock().instant() : lastHeard;
        watchSilence();
      } else if (mayTryAgain("upstream-silent")) {
        abandon();
        describe("silent");
        chosen.row().failed(parts.clock().instant());
        mayHaveRun = true;
        outcome(true);
        relay.nextUpstream();
        next();
      }
    }

    private AttemptTerms terms() {
      return new AttemptTerms(
          chosen.name(),
          incoming.workspace().map(WorkspaceKeys::name),
          timeLeft(),
          model,
          relay.last(),
          OptionalInt.of(priority()));
    }

    private int priority() {
      return incoming.workspace().flatMap(WorkspaceKeys::priority).orElse(route.priority());
    }

    /** Ends the attempt without a result. */
    void abandon() {
      release();
      if (link != null) {
        link.cancel();
      }
    }

    private void release() {
      if (!released) {
        released = true;
        chosen.row().release();
        parts.vertx().cancelTimer(silenceTimer);
      }
    }

    @Override
    public void head(HttpClientResponse received) {
      response = received;
      heard();
      AnswerHead head = parts.adapter().upstreams().read(received);
      head.load()
          .ifPresent(
              load ->
                  parts
                      .tables()
                      .loads()
                      .report(chosen.name(), load.running(), load.waiting(), false));
      if (!head.requestId().equals(Optional.of(incoming.head().id()))) {
        link.cancel();
        failed(Progress.ANSWERING, "the answer is to another request");
        return;
      }
      if (head.verdict() != AnswerHead.Verdict.RAN) {
        refusedByUpstream(head);
        return;
      }
      boolean failure = head.status() >= FIRST_SERVER_ERROR;
      outcome(failure);
      if (failure && failedAtUpstream(head)) {
        return;
      }
      if (!failure && isPoor(head)) {
        return;
      }
      accept(head);
    }

    private void refusedByUpstream(AnswerHead head) {
      abandon();
      boolean moved = head.verdict() == AnswerHead.Verdict.WRONG_UPSTREAM;
      if (moved) {
        chosen.row().markLeaving();
      }
      describe("refused by upstream status=" + head.status());
      if (mayTryAgain(moved ? "upstream-moved" : "upstream-refused")) {
        next();
      } else {
        giveUp(RefusalReason.UPSTREAM_REFUSED, ErrorText.get().upstreamRefused);
      }
    }

    /** Returns whether a failure of the upstream was dealt with by another attempt. */
    private boolean failedAtUpstream(AnswerHead head) {
      mayHaveRun = true;
      chosen.row().failed(parts.clock().instant());
      if (!route.isRepeatable()) {
        return false;
      }
      if (!mayTryAgain("upstream-status")) {
        return false;
      }
      abandon();
      describe("failed status=" + head.status());
      next();
      return true;
    }

    /** Returns whether the answer was dropped because a larger model shall answer. */
    private boolean isPoor(AnswerHead head) {
      if (!route.isCascade() || answer.isBegun() || head.confidence().isEmpty()) {
        return false;
      }
      int confidence = head.confidence().getAsInt();
      StageRule.Poor poor =
          new StageRule.Poor(route, incoming.service(), generation(), stage, confidence, elapsed());
      OptionalInt instead = parts.stages().insteadOf(poor);
      if (instead.isEmpty() || !mayTryAgain("larger-model")) {
        return false;
      }
      mayHaveRun = true;
      abandon();
      describe("dropped confidence=" + confidence);
      stage = instead.getAsInt();
      next();
      return true;
    }

    private void accept(AnswerHead head) {
      mayHaveRun = true;
      Duration took = Duration.between(started, parts.clock().instant());
      parts.times().headTook(kind(), took);
      String type = response.getHeader("Content-Type");
      streaming =
          route.kind() == RouteKind.STREAM
              && head.status() == OK
              && type != null
              && type.startsWith(EVENT_STREAM);
      if (answer.isBegun() && !streaming) {
        link.cancel();
        failed(Progress.ANSWERING, "no stream follows, status=" + head.status());
      }
    }

    private void heard() {
      Instant now = parts.clock().instant();
      if (streaming) {
        long pause = Duration.between(lastHeard, now).toMillis();
        parts.times().paused(kind(), pause);
      }
      lastHeard = now;
    }

    @Override
    public void data(Buffer data) {
      heard();
      if (!streaming) {
        body.appendBuffer(data);
        return;
      }
      Buffer events = relay.take(data);
      if (events.length() > 0) {
        beginStream();
        if (answer.write(events, this::drained)) {
          paused = true;
          link.pause();
        }
      }
    }

    private void drained() {
      paused = false;
      lastHeard = parts.clock().instant();
      link.resume();
    }

    private void beginStream() {
      if (answer.isBegun()) {
        return;
      }
      MultiMap headers = parts.adapter().upstreams().passedBack(response);
      headers.remove("Content-Length");
      answer.begin(response.statusCode(), headers);
      parts.meters().time("first-event." + route.name(), elapsed());
    }

    @Override
    public void whole() {
      if (streaming && relay.endsInsideEvent()) {
        failed(Progress.ANSWERING, "the stream ends inside an event");
        return;
      }
      release();
      chosen.row().succeeded();
      if (streaming) {
        beginStream();
        finish("stream");
        answer.end();
        return;
      }
      finish("status " + response.statusCode());
      MultiMap headers = parts.adapter().upstreams().passedBack(response);
      answer.whole(response.statusCode(), headers, body);
    }

    @Override
    public void failed(Progress progress, String problem) {
      release();
      chosen.row().failed(parts.clock().instant());
      describe("failed " + progress + " " + problem);
      if (progress == Progress.NOT_SENT) {
        notSent();
        return;
      }
      mayHaveRun = true;
      outcome(true);
      relay.nextUpstream();
      if (route.isRepeatable() && mayTryAgain("upstream-" + (streaming ? "stream" : "answer"))) {
        next();
      } else {
        giveUp(RefusalReason.UPSTREAM_FAILED, ErrorText.get().upstreamBroke);
      }
    }

    private void notSent() {
      sent--;
      unreached++;
      parts.meters().count("retry.upstream-not-reached");
      if (unreached < MAXIMUM_UNREACHED && timeLeft().compareTo(LEAST_TIME) > 0) {
        next();
      } else {
        giveUp(RefusalReason.NO_UPSTREAM, ErrorText.get().upstreamBroke);
      }
    }

    private void outcome(boolean bad) {
      String version = chosen.upstream().version();
      if (bad) {
        lastFailed = Optional.of(version);
      }
      Duration took = Duration.between(started, parts.clock().instant());
      parts
          .versions()
          .answered(
              new VersionRule.Answer(
                  incoming.service(), version, route, model.orElse(""), bad, took));
    }

    private void describe(String what) {
      Duration took = Duration.between(started, parts.clock().instant());
      log().log("attempt=%d upstream=%s %s millis=%d", sent, chosen.name(), what, took.toMillis());
    }
  }
}
