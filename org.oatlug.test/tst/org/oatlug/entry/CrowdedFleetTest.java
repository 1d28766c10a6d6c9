// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.oatlug.adapter.standin.SampleObjects;
import org.oatlug.test.Await;
import org.oatlug.test.Http;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Sends most new connections to one of six instances, then to another one, while each of them is
 * slow.
 *
 * <p>Guards against an instance that reads what it cannot serve or takes its short processor for
 * lost upstreams, against places that stay occupied after their connections have gone, and against
 * a limit that outlasts the crowd.
 */
public class CrowdedFleetTest {
  private static final int INSTANCES = 6;
  private static final int CALLERS = 80;
  private static final int PAUSE_MILLIS = 10;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final int RESPONSE_TIMEOUT_MILLIS = 10_000;

  /** Longer than the delay up to which an instance without goals accepts everything. */
  private static final long BLOCKED_MILLIS = 150;

  private GatewayFleet fleet;

  @BeforeMethod
  void start() throws Exception {
    fleet = GatewayFleet.startLimited(INSTANCES, 2);
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    fleet.close();
  }

  private void send(Socket caller, int number) throws IOException {
    caller.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
    String request =
        "POST %s%d HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: crowd-%d\r\n"
                .formatted(SampleObjects.REPEATABLE, number, number)
            + "Authorization: Bearer %s\r\nRequest-Deadline: 9000\r\nContent-Length: 0\r\n\r\n"
                .formatted(SampleObjects.KEY);
    caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
  }

  private static boolean isServed(Socket caller) throws IOException {
    String status = new String(caller.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
    return status.equals("HTTP/1.1 200");
  }

  /** Lets callers connect to an instance; returns those whose connection opened. */
  private List<Socket> crowd(int instance) throws IOException {
    List<Socket> connected = new ArrayList<>();
    for (int number = 0; number < CALLERS; number++) {
      Socket caller = new Socket();
      try {
        caller.connect(
            new InetSocketAddress("127.0.0.1", fleet.callerPort(instance)), CONNECT_TIMEOUT_MILLIS);
        send(caller, number);
        connected.add(caller);
      } catch (SocketTimeoutException e) {
        caller.close();
      }
      Await.pause(PAUSE_MILLIS);
    }
    return connected;
  }

  private void crowdAndRecover(int instance) throws Exception {
    final Runnable recover = fleet.slowDown(instance, BLOCKED_MILLIS);
    List<Socket> callers = crowd(instance);
    // Some callers leave before they are served; their places have to be released as well.
    for (int number = 0; number < callers.size(); number += 10) {
      callers.get(number).close();
    }
    for (int other = 0; other < INSTANCES; other++) {
      if (other != instance) {
        assertEquals(Http.send(fleet.request(other, SampleObjects.ONCE)).status(), 200);
      }
    }
    int served = 0;
    int waited = 0;
    for (Socket caller : callers) {
      if (!caller.isClosed()) {
        waited++;
        served += isServed(caller) ? 1 : 0;
        caller.close();
      }
    }
    assertTrue(fleet.counter(instance, "accept_held") > 0, "the limit is in force");
    assertEquals(fleet.counter(instance, "path_lost"), 0.0, "the upstreams are healthy");
    assertTrue(served >= waited * 3 / 4, served + " of " + waited + " connected callers served");
    recover.run();
    Await.until("all places are free", () -> fleet.acceptWindow(instance).occupied() == 0);
    for (int number = 0; number < 20; number++) {
      assertEquals(Http.send(fleet.request(instance, SampleObjects.ONCE)).status(), 200);
    }
  }

  @Test
  public void testCrowdedInstanceServesWhatItReadsAndRecovers() throws Exception {
    crowdAndRecover(0);
    crowdAndRecover(3);
  }
}
