// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.oatlug.config.Settings;
import org.oatlug.errors.PeerUnavailableException;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.TcpPeerNetwork;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a connection that stops delivering data without a reset is replaced. */
public class SilentConnectionTest {
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(300);
  private static final long WAIT_SECONDS = 20;

  private final List<Runnable> silencers = new CopyOnWriteArrayList<>();
  private Vertx vertx;
  private TcpPeerNetwork callerNetwork;
  private Member relayedPeer;

  @BeforeMethod
  void start() throws Exception {
    vertx = Vertx.vertx();
    int port = Ports.free();
    int relayPort = Ports.free();
    relayedPeer = member("answering", relayPort);
    TcpPeerNetwork answeringNetwork = networkOf(member("answering", port));
    callerNetwork = networkOf(member("calling", Ports.free()));
    await(answeringNetwork.listen());
    await(relay(port).listen(relayPort, "127.0.0.1"));
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    vertx.close();
  }

  private static <T> T await(io.vertx.core.Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  private static Member member(String name, int port) {
    return new Member(name, "here", "rack", "127.0.0.1", port, 1, 0, Member.State.ALIVE);
  }

  private TcpPeerNetwork networkOf(Member self) {
    Settings.Peers settings =
        new Settings.Peers(
            self.host(), self.peerPort(), "key", List.of(), Optional.empty(), Optional.empty());
    return TcpPeerNetwork.create(
        vertx,
        settings,
        () -> self,
        (from, message) -> Uni.createFrom().item(new PeerMessage.Done()));
  }

  /** Forwards bytes in both directions until a connection is silenced. */
  private NetServer relay(int port) {
    return vertx
        .createNetServer()
        .connectHandler(
            inbound -> {
              inbound.pause();
              vertx
                  .createNetClient()
                  .connect(port, "127.0.0.1")
                  .onSuccess(outbound -> forward(inbound, outbound));
            });
  }

  private void forward(NetSocket inbound, NetSocket outbound) {
    inbound.handler(outbound::write);
    outbound.handler(inbound::write);
    silencers.add(
        () -> {
          inbound.handler(unused -> {});
          outbound.handler(unused -> {});
        });
    inbound.resume();
  }

  /**
   * Pushes wait for a response before they skip an unresponsive instance, so the request timeout
   * must include the time to connect. Guards against a connection attempt that takes two seconds
   * whatever the request timeout is.
   */
  @Test
  public void testTimeoutCoversConnectionSetup() throws Exception {
    int port = Ports.free();
    await(vertx.createNetServer().connectHandler(socket -> {}).listen(port, "127.0.0.1"));
    Member unresponsive = member("mute", port);
    CompletableFuture<String> outcome = new CompletableFuture<>();
    vertx.runOnContext(
        unused -> {
          vertx.setTimer(1500, timer -> outcome.complete("the timer of the test"));
          callerNetwork
              .sendRequest(unresponsive, new PeerMessage.Ping(List.of()), REQUEST_TIMEOUT)
              .subscribe()
              .with(message -> outcome.complete("answer"), failure -> outcome.complete("failure"));
        });
    assertEquals(outcome.get(WAIT_SECONDS, TimeUnit.SECONDS), "failure");
  }

  private boolean isPingAnswered() throws Exception {
    return isPingAnswered(relayedPeer);
  }

  private boolean isPingAnswered(Member peer) throws Exception {
    CompletableFuture<Boolean> answered = new CompletableFuture<>();
    vertx.runOnContext(
        unused ->
            callerNetwork
                .sendRequest(peer, new PeerMessage.Ping(List.of()), REQUEST_TIMEOUT)
                .subscribe()
                .with(message -> answered.complete(true), failure -> answered.complete(false)));
    return answered.get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  public void testSilentConnectionIsReplacedByAnother() throws Exception {
    Await.until("the first ping is answered", this::isPingAnswered);
    silencers.forEach(Runnable::run);
    Await.until("a ping after the silence is answered", this::isPingAnswered);
    assertTrue(silencers.size() > 1, "no other connection was opened");
  }

  /** Guards against closing connections whose data this instance has not read in time itself. */
  @Test
  public void testSilenceDuringOwnLagIsNoEvidence() throws Exception {
    AtomicBoolean late = new AtomicBoolean();
    callerNetwork.useTimeoutRule(timeout -> () -> !late.get());
    Await.until("the first ping is answered", this::isPingAnswered);
    final int connections = silencers.size();
    late.set(true);
    silencers.forEach(Runnable::run);
    for (int ping = 0; ping < 3; ping++) {
      CompletableFuture<Throwable> failure = new CompletableFuture<>();
      vertx.runOnContext(
          unused ->
              callerNetwork
                  .sendRequest(relayedPeer, new PeerMessage.Ping(List.of()), REQUEST_TIMEOUT)
                  .subscribe()
                  .with(message -> failure.complete(null), failure::complete));
      assertFalse(PeerUnavailableException.isEvidence(failure.get(WAIT_SECONDS, TimeUnit.SECONDS)));
    }
    assertEquals(silencers.size(), connections, "the connection is kept");
    late.set(false);
    Await.until("a ping is answered on another connection", this::isPingAnswered);
  }

  private Member startRelayedPeer(String name) throws Exception {
    int port = Ports.free();
    int relayPort = Ports.free();
    await(networkOf(member(name, port)).listen());
    await(relay(port).listen(relayPort, "127.0.0.1"));
    return member(name, relayPort);
  }

  /** Guards against pushes that are lost on connections which are silent and rarely used. */
  @Test
  public void testConnectionsToOtherPeersAreReplacedWithTheFirstSilentOne() throws Exception {
    List<Member> rarelyUsed = List.of(startRelayedPeer("second"), startRelayedPeer("third"));
    for (Member peer : rarelyUsed) {
      Await.until("the ping is answered", () -> isPingAnswered(peer));
    }
    Await.until("the first ping is answered", this::isPingAnswered);
    int connections = silencers.size();
    List.copyOf(silencers).forEach(Runnable::run);
    Await.until("a ping after the silence is answered", this::isPingAnswered);
    Await.until("all are replaced", () -> silencers.size() >= 2 * connections);
  }
}
