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
 * Measures the latency that an entry instance adds to a streamed request, by sending each request
 * through an instance and then directly to the engine. Requires a running {@code ./demo --keep}.
 * Requests rotate over the instances so that none exhausts its share of the workspace's rate limit.
 */
public final class LatencyBench {
  private static final int MEASURED_REQUESTS = 400;
  private static final int WARM_UP_REQUESTS = 100;
  private static final int FIRST_ENTRY_PORT = 7101;
  private static final int ENTRY_COUNT = 7;
  private static final int ENGINE_PORT = 7201;
  private static final String BODY =
      "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":4,"
          + "\"messages\":[{\"role\":\"user\",\"content\":\"which cleat\"}]}";

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private LatencyBench() {}

  /** Runs the benchmark and prints the percentiles of the time to the first byte. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    LatencyBench bench = new LatencyBench();
    Histogram routedLatencies = new Histogram(3);
    Histogram directLatencies = new Histogram(3);
    for (int number = 0; number < WARM_UP_REQUESTS + MEASURED_REQUESTS; number++) {
      long routedMicros = bench.firstByteMicros(FIRST_ENTRY_PORT + number % ENTRY_COUNT, "small");
      long directMicros = bench.firstByteMicros(ENGINE_PORT, "small-v1");
      if (number >= WARM_UP_REQUESTS) {
        routedLatencies.recordValue(routedMicros);
        directLatencies.recordValue(directMicros);
      }
    }
    System.out.printf("%-28s %10s %10s%n", "first byte, microseconds", "p50", "p95");
    print("engine directly", directLatencies);
    print("through an entry instance", routedLatencies);
  }

  private static void print(String label, Histogram latencies) {
    System.out.printf(
        "%-28s %10d %10d%n",
        label, latencies.getValueAtPercentile(50), latencies.getValueAtPercentile(95));
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
      int firstByte = body.read();
      final long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start);
      if (firstByte < 0 || response.statusCode() != 200) {
        throw new IOException("status " + response.statusCode());
      }
      body.transferTo(OutputStream.nullOutputStream());
      return micros;
    }
  }
}
