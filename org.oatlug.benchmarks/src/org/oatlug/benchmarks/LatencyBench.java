// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.benchmarks;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * The latency that an entry instance adds to a streamed request, against the engine directly, in
 * turn. Needs {@code ./demo --keep}. The requests go round the instances, so that none of them uses
 * up its share of the workspace's rate.
 */
public final class LatencyBench {
  private static final int REQUESTS = 400;
  private static final int WARM_UP = 100;
  private static final int FIRST_ENTRY = 7101;
  private static final int ENTRIES = 7;
  private static final int ENGINE = 7201;
  private static final String BODY =
      "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":4,"
          + "\"messages\":[{\"role\":\"user\",\"content\":\"which cleat\"}]}";

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private LatencyBench() {}

  /** Runs the measurement. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    LatencyBench bench = new LatencyBench();
    Histogram routed = new Histogram(3);
    Histogram direct = new Histogram(3);
    for (int number = 0; number < WARM_UP + REQUESTS; number++) {
      long throughEntry = bench.firstByteMicros(FIRST_ENTRY + number % ENTRIES, "small");
      long atEngine = bench.firstByteMicros(ENGINE, "small-v1");
      if (number >= WARM_UP) {
        routed.recordValue(throughEntry);
        direct.recordValue(atEngine);
      }
    }
    System.out.printf("%-28s %10s %10s%n", "first byte, microseconds", "p50", "p95");
    print("engine directly", direct);
    print("through an entry instance", routed);
  }

  private static void print(String what, Histogram times) {
    System.out.printf(
        "%-28s %10d %10d%n", what, times.getValueAtPercentile(50), times.getValueAtPercentile(95));
  }

  private long firstByteMicros(int port, String model) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/v1/chat/completions"))
            .header("Authorization", "Bearer key-estimators")
            .POST(HttpRequest.BodyPublishers.ofString(String.format(BODY, model)))
            .build();
    long start = System.nanoTime();
    HttpResponse<InputStream> response =
        client.send(request, HttpResponse.BodyHandlers.ofInputStream());
    try (InputStream body = response.body()) {
      int first = body.read();
      final long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start);
      if (first < 0 || response.statusCode() != 200) {
        throw new IOException("status " + response.statusCode());
      }
      body.transferTo(OutputStream.nullOutputStream());
      return micros;
    }
  }
}
