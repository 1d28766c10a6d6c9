// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.UpstreamFailedException.Progress;
import org.oatlug.gateway.AttemptMetadata;
import org.oatlug.gateway.ResponseHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.WorkspaceKeys;
import org.oatlug.internal.crash.CrashLedger.Verdict;
import org.oatlug.internal.engine.FirstTokenForecast;
import org.oatlug.internal.gateway.CrashProbe.ProcessState;
import org.oatlug.internal.gateway.UpstreamEligibility.Exclusion;
import org.oatlug.internal.routing.RequestPriority;

/**
 * One attempt of an exchange at one upstream, and the handling of its response.
 *
 * <p>{@link UpstreamConnection} owns the connection; this class decides whether the response is
 * accepted, dropped or requested again; {@link AttemptFeedback} records the progress and outcome of
 * the attempt. {@link ResponseRelay} forwards an accepted response. Used from one event loop.
 */
final class ExchangeAttempt implements Attempt, UpstreamConnection.Listener {
  private static final int FIRST_SERVER_ERROR = 500;

  /** The time for which the end of a response waits until the state of the upstream is known. */
  private static final Duration MAXIMUM_CHECK_TIME = Duration.ofMillis(100);

  /** The time after the first data in which a prompt may still crash the upstream. */
  private static final Duration BEGINNING = Duration.ofMillis(500);

  private final Exchange exchange;
  private final GatewayComponents components;
  private final AdmittedRequest request;
  private final Route route;
  private final CallerResponse callerResponse;
  private final StreamRelay relay;
  private final UpstreamSelection.CostedUpstream chosen;
  private final Optional<String> model;
  private final AttemptFeedback feedback;
  private final IdleTimeout idleTimeout;
  private final ResponseRelay responseRelay;
  private final MultiMap headers = MultiMap.caseInsensitiveMultiMap();
  private UpstreamConnection connection;
  private HttpClientResponse response;
  private boolean released;
  private boolean runsIsolated;
  private boolean written;
  private Optional<Instant> firstDataAt = Optional.empty();
  private boolean hasBegun;
  private long checkTimer;

  ExchangeAttempt(
      Exchange exchange, UpstreamSelection.CostedUpstream chosen, Optional<String> model) {
    this.exchange = exchange;
    this.components = exchange.components();
    this.request = exchange.request();
    this.route = request.route();
    this.callerResponse = exchange.callerResponse();
    this.relay = exchange.relay();
    this.chosen = chosen;
    this.model = model;
    this.feedback = new AttemptFeedback(components, request, chosen, model);
    this.idleTimeout =
        IdleTimeout.create(
            components,
            this::currentIdleTimeout,
            isEvidence -> exchange.run(() -> retryOnAnotherUpstream(isEvidence)));
    this.responseRelay =
        ResponseRelay.create(
            exchange, components.adapter().upstreams()::responseHeaders, idleTimeout);
  }

  @Override
  public String targetName() {
    return chosen.name();
  }

  @Override
  public boolean isOpen() {
    return !released;
  }

  @Override
  public void send() {
    feedback.begin();
    exchange.recordAttempt(chosen.name());
    runsIsolated = exchange.requestGuard().isSuspect();
    if (runsIsolated) {
      exchange.requestGuard().startIsolated(chosen.name());
    }
    headers.addAll(request.headers());
    components.adapter().upstreams().addMetadata(headers, metadata());
    logSent();
    connection = UpstreamConnection.start(components.client(), outgoingRequest(), this);
    if (route.isRepeatable() && !released) {
      idleTimeout.start();
    }
  }

  private void logSent() {
    FirstTokenForecast forecast = chosen.forecast();
    exchange.log().log(
        "attempt=%d route=%s upstream=%s revision=%s version=%s model=%s load=%d"
            + " remainingMillis=%d lastEventId=%s uncachedTokens=%.0f waitingMillis=%.0f"
            + " expected=%d%s",
        exchange.attemptsSent(),
        route.name(),
        chosen.name(),
        components.tables().revisionOf(chosen.name()),
        chosen.upstream().version(),
        model.orElse("-"),
        chosen.row().expectedLoad(),
        exchange.remainingTime().toMillis(),
        relay.lastEventId(),
        forecast.uncachedTokens(),
        forecast.waitingMillis(),
        forecast.timeToFirstToken().toMillis(),
        chosen.applied().logFields());
  }

  private UpstreamConnection.OutgoingRequest outgoingRequest() {
    SocketAddress address =
        SocketAddress.inetSocketAddress(chosen.upstream().port(), chosen.upstream().host());
    return new UpstreamConnection.OutgoingRequest(
        address, request.method(), request.uri(), headers, request.body(), request.hasBody());
  }

  /** Returns the current idle timeout of the upstream. */
  private Duration currentIdleTimeout() {
    return response == null ? feedback.headTimeout() : feedback.pauseTimeout();
  }

  /**
   * Abandons the attempt after the idle timeout, if the request may be sent to another upstream.
   *
   * @param isEvidence whether the silence counts as a failure of the upstream and its version
   */
  private void retryOnAnotherUpstream(boolean isEvidence) {
    if (!responseRelay.isForwarded() && exchange.tryAcquireRetry("upstream-silent")) {
      abandon();
      logEvent("silent");
      exchange.markMayHaveRun();
      if (isEvidence) {
        feedback.recordFailure();
        recordOutcome(true);
      }
      relay.resetForNextUpstream();
      exchange.sendToNextUpstream();
    }
  }

  private AttemptMetadata metadata() {
    return new AttemptMetadata(
        chosen.name(),
        request.workspace().map(WorkspaceKeys::name),
        exchange.remainingTime(),
        model,
        relay.lastEventId(),
        OptionalInt.of(priority()));
  }

  private int priority() {
    return RequestPriority.of(request.rank(), chosen.forecast(), route.goalMillis());
  }

  @Override
  public void recordUnanswered() {
    if (!released && written && response == null) {
      feedback.recordUnanswered();
    }
  }

  @Override
  public void abandon() {
    if (!released && written) {
      exchange.requestGuard().attemptAbandoned(chosen, feedback.started());
    }
    release();
    if (connection != null) {
      connection.cancel();
    }
  }

  private void release() {
    if (!released) {
      released = true;
      if (runsIsolated) {
        exchange.requestGuard().endIsolated();
      }
      feedback.end();
      responseRelay.release();
    }
  }

  /**
   * Checks the caller and the state of the upstream again before the request is written. On a busy
   * instance the disconnect of the caller may not have been processed yet, and nobody would receive
   * the response. The upstream may have begun to drain or asked to back off while the connection
   * was opened, which takes long in a process that was suspended.
   */
  @Override
  public boolean maySend() {
    feedback.connected();
    if (exchange.withholdsFrom(this)) {
      return false;
    }
    if (exchange.requestGuard().verdict() == Verdict.REFUSED) {
      return retryWithheld("the request crashes upstreams", "crashes-upstreams");
    }
    Optional<Exclusion> exclusion =
        components
            .selection()
            .eligibility()
            .exclusionBeforeWrite(chosen.name(), components.clock().instant());
    if (exclusion.isEmpty()) {
      exclusion = feedback.write();
    }
    if (exclusion.isPresent()) {
      return retryWithheld(exclusion.get().reason(), exclusion.get().counterSuffix());
    }
    // Updates the remaining time: the host may have been suspended since the headers were first
    // composed.
    components.adapter().upstreams().addMetadata(headers, metadata());
    written = true;
    exchange.recordWritten();
    components.meters().count(InstanceLoadLog.TO_UPSTREAMS, request.body().length());
    return true;
  }

  @Override
  public void withhold(String reason) {
    release();
    logEvent("withheld, " + reason);
  }

  /** Ends the attempt before anything is written, and tries another upstream. */
  private boolean retryWithheld(String reason, String counterSuffix) {
    withhold(reason);
    exchange.retryUnsent("retry." + counterSuffix);
    return false;
  }

  @Override
  public void headReceived(HttpClientResponse received) {
    response = received;
    feedback.received();
    activityReceived();
    components.crashes().recordResponse(chosen.row().process());
    ResponseHead head = components.adapter().upstreams().read(received);
    feedback.responseHeadReceived(head);
    if (!head.requestId().equals(Optional.of(request.head().id()))) {
      connection.cancel();
      failed(Progress.ANSWERING, "the answer belongs to another request");
      return;
    }
    if (head.verdict() != ResponseHead.Verdict.RAN) {
      handleRefusal(head);
      return;
    }
    boolean failure = head.status() >= FIRST_SERVER_ERROR;
    recordOutcome(failure);
    if (!failure) {
      logResponseBegin();
      feedback.recordTimeToHead();
    }
    if (failure && retryAfterFailure(head)) {
      return;
    }
    if (!failure && replaceWithOtherModel(head)) {
      return;
    }
    accept(head);
  }

  private void logResponseBegin() {
    FirstTokenForecast forecast = chosen.forecast();
    if (!forecast.equals(FirstTokenForecast.NONE)) {
      logEvent("answer begins expected=" + forecast.timeToFirstToken().toMillis());
    }
  }

  private void handleRefusal(ResponseHead head) {
    abandon();
    boolean wrongUpstream = head.verdict() == ResponseHead.Verdict.WRONG_UPSTREAM;
    if (wrongUpstream) {
      chosen.row().markLeaving();
    } else {
      feedback.recordRefusal();
    }
    logEvent(
        "refused by upstream status="
            + head.status()
            + head.backOff().map(backOff -> " backOffMillis=" + backOff.toMillis()).orElse(""));
    if (exchange.tryAcquireRetry(wrongUpstream ? "upstream-moved" : "upstream-refused")) {
      exchange.sendToNextUpstream();
    } else {
      exchange.giveUpAfterRefusal();
    }
  }

  /** Starts another attempt after a failure of the upstream; returns whether it did. */
  private boolean retryAfterFailure(ResponseHead head) {
    exchange.markMayHaveRun();
    feedback.recordFailure();
    if (!route.isRepeatable()) {
      return false;
    }
    if (!exchange.tryAcquireRetry("upstream-status")) {
      return false;
    }
    abandon();
    logEvent("failed status=" + head.status());
    exchange.sendToNextUpstream();
    return true;
  }

  /** Drops a low-confidence response and tries another model; returns whether it did. */
  private boolean replaceWithOtherModel(ResponseHead head) {
    boolean replaceable =
        route.isCascade()
            && route.isRepeatable()
            && !callerResponse.isBegun()
            && !exchange.requestGuard().blocksRetry(chosen.row().process());
    if (!replaceable || head.confidence().isEmpty()) {
      return false;
    }
    int confidence = head.confidence().getAsInt();
    Optional<Exchange.Replacement> replacement = exchange.replacementFor(confidence);
    if (replacement.isEmpty() || !exchange.tryAcquireRetry("larger-model")) {
      return false;
    }
    exchange.markMayHaveRun();
    feedback.recordSuccess();
    abandon();
    logEvent("dropped confidence=" + confidence + " parts=" + request.sharedPartNames());
    exchange.sendToReplacement(replacement.get());
    return true;
  }

  private void accept(ResponseHead head) {
    exchange.markMayHaveRun();
    if (!responseRelay.begin(response, connection)) {
      connection.cancel();
      failed(Progress.ANSWERING, "expected an event stream, status=" + head.status());
    }
  }

  /** Records activity of the upstream, and the pause of the stream before it. */
  private void activityReceived() {
    Duration pause = idleTimeout.recordActivity();
    if (responseRelay.isStreaming()) {
      feedback.recordPause(pause);
    }
  }

  @Override
  public void dataReceived(Buffer data) {
    feedback.received();
    components.meters().count(InstanceLoadLog.FROM_UPSTREAMS, data.length());
    activityReceived();
    recordBeginning();
    responseRelay.dataReceived(data).ifPresent(feedback::recordEventInterval);
    if (!released && responseRelay.hasExceededEvent()) {
      connection.cancel();
      failed(Progress.ANSWERING, "an event is too long");
    }
  }

  /** Records once that the response has gone on for longer than its beginning takes. */
  private void recordBeginning() {
    Instant now = components.clock().instant();
    if (firstDataAt.isEmpty()) {
      firstDataAt = Optional.of(now);
    } else if (!hasBegun && now.isAfter(firstDataAt.get().plus(BEGINNING))) {
      hasBegun = true;
      exchange.requestGuard().recordBegun();
    }
  }

  @Override
  public void completed() {
    if (responseRelay.endsInsideEvent()) {
      failed(Progress.ANSWERING, "the stream ended inside an event");
      return;
    }
    if (isDelimited()) {
      complete();
      exchange.requestGuard().recordSuccess();
    } else {
      checkEndOfConnection();
    }
  }

  /**
   * Returns whether the response has a length or is chunked. Any other response ends with its
   * connection, so a crash of the upstream looks like a complete response.
   */
  private boolean isDelimited() {
    String encoding = response.getHeader("Transfer-Encoding");
    return response.getHeader("Content-Length") != null
        || encoding != null && encoding.toLowerCase(Locale.ROOT).contains("chunked");
  }

  /** Completes a response that ended with its connection, unless the upstream crashed there. */
  private void checkEndOfConnection() {
    logEvent("ended with its connection parts=" + request.sharedPartNames());
    if (components.tables().isLeaving(chosen.name())) {
      complete();
      return;
    }
    limitCheck(true);
    components
        .crashes()
        .checkProcess(
            chosen,
            state -> {
              components.vertx().cancelTimer(checkTimer);
              exchange.run(() -> complete(state));
            });
  }

  /** Limits the time of the check; extends it once if the event loop lagged meanwhile. */
  private void limitCheck(boolean extensible) {
    BooleanSupplier counts = components.timeouts().start(MAXIMUM_CHECK_TIME);
    checkTimer =
        components
            .vertx()
            .setTimer(
                MAXIMUM_CHECK_TIME.toMillis(),
                unused -> {
                  if (extensible && !released && !counts.getAsBoolean()) {
                    limitCheck(false);
                  } else {
                    exchange.run(() -> complete(ProcessState.UNKNOWN));
                  }
                });
  }

  private void complete(ProcessState state) {
    if (released) {
      return;
    }
    if (state == ProcessState.CRASHED) {
      failed(Progress.ANSWERING, "the upstream crashed");
      return;
    }
    complete();
    if (state == ProcessState.ALIVE) {
      exchange.requestGuard().recordSuccess();
    }
  }

  private void complete() {
    release();
    if (response.statusCode() < FIRST_SERVER_ERROR) {
      feedback.recordSuccess();
    }
    responseRelay.finish().ifPresent(feedback::recordEventInterval);
  }

  @Override
  public void notConnected(Throwable failure) {
    if (failure instanceof ConnectTimeoutException) {
      feedback.connectTimedOut();
    }
    release();
    logFailure(Progress.NOT_SENT, UpstreamConnection.describe(failure));
    if (components
        .timeouts()
        .counts(failure, feedback.started(), UpstreamConnection.CONNECT_TIMEOUT)) {
      feedback.recordFailure();
      feedback.connectFailed();
      components.crashes().connectFailed(chosen);
    }
    exchange.retryUnsent("retry.upstream-not-reached");
  }

  private void logFailure(Progress progress, String problem) {
    logEvent(
        "failed "
            + progress
            + " "
            + problem
            + " request="
            + request.fingerprint()
            + " parts="
            + request.sharedPartNames());
  }

  @Override
  public void failed(Progress progress, String problem) {
    release();
    feedback.recordFailure();
    logFailure(progress, problem);
    exchange.markMayHaveRun();
    recordOutcome(true);
    relay.resetForNextUpstream();
    boolean mustNotRetry = recordInterruption();
    if (route.isRepeatable()
        && !responseRelay.isForwarded()
        && !mustNotRetry
        && exchange.tryAcquireRetry(
            "upstream-" + (responseRelay.isStreaming() ? "stream" : "answer"))) {
      exchange.sendToNextUpstream();
    } else {
      exchange.giveUp(RefusalReason.UPSTREAM_FAILED, ErrorText.get().upstreamBroke);
    }
  }

  /**
   * Records that the response was interrupted; returns true if a retry could crash another
   * upstream.
   */
  private boolean recordInterruption() {
    boolean mustNotRetry = exchange.requestGuard().blocksRetry(chosen.row().process());
    // An upstream that drains ends as planned, so the request did not crash it.
    if (!components.tables().isLeaving(chosen.name())) {
      exchange.requestGuard().responseInterrupted(chosen, feedback.started(), hasBegun);
    }
    return mustNotRetry;
  }

  /** Records whether the upstream's version failed the request. */
  private void recordOutcome(boolean failure) {
    if (failure) {
      exchange.recordFailedVersion(chosen.upstream().version());
    }
    feedback.recordOutcome(failure);
  }

  @Override
  public void handlerFailed(Throwable error) {
    exchange.fail(error);
  }

  private void logEvent(String event) {
    exchange.log().log(
        "attempt=%d upstream=%s %s millis=%d",
        exchange.attemptsSent(), chosen.name(), event, feedback.elapsed().toMillis());
  }
}
