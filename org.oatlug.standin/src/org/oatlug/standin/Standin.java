// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Starts stand-ins: {@code standin --kind platform|engine|service|rating --ports P1,P2,...}. A
 * process may run several engines or services, each on its own port.
 */
public final class Standin {
  private static final String USAGE =
      "usage: standin --kind platform|engine|service|rating --ports P1,P2,..."
          + " [--slots N] [--decode-millis N]";
  private static final String HOST = "127.0.0.1";
  private static final int USAGE_EXIT_CODE = 2;

  private Standin() {}

  /** Runs the stand-ins until the process is terminated. */
  public static void main(String[] arguments) {
    try {
      CommandLine line = new DefaultParser().parse(options(), arguments);
      start(line);
    } catch (ParseException | NumberFormatException e) {
      System.err.println(e.getMessage() + System.lineSeparator() + USAGE);
      System.exit(USAGE_EXIT_CODE);
    }
  }

  private static Options options() {
    return new Options()
        .addRequiredOption("k", "kind", true, "the system to simulate")
        .addRequiredOption("p", "ports", true, "the ports to listen on, separated by commas")
        .addOption("s", "slots", true, "the number of requests that an engine runs concurrently")
        .addOption("d", "decode-millis", true, "the time per output token, in milliseconds");
  }

  private static void start(CommandLine line) throws ParseException {
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    String kind = line.getOptionValue("kind");
    int slots = Integer.parseInt(line.getOptionValue("slots", "8"));
    int decodeMillis = Integer.parseInt(line.getOptionValue("decode-millis", "5"));
    List<Future<HttpServer>> servers = new ArrayList<>();
    for (String portText : line.getOptionValue("ports").split(",")) {
      int port = Integer.parseInt(portText);
      servers.add(startStandin(vertx, kind, port, new EngineStandin.Capacity(slots, decodeMillis)));
    }
    Future.all(servers)
        .onComplete(
            unused -> System.out.println("listening"),
            failure -> {
              System.err.println(failure.getMessage());
              System.exit(1);
            });
  }

  private static Future<HttpServer> startStandin(
      Vertx vertx, String kind, int port, EngineStandin.Capacity capacity) throws ParseException {
    return switch (kind) {
      case "platform" -> PlatformStandin.start(vertx, HOST, port);
      case "engine" -> EngineStandin.start(vertx, "engine-" + port, HOST, port, capacity);
      case "service" -> ServiceStandin.start(vertx, HOST, port);
      case "rating" -> RatingStandin.start(vertx, HOST, port);
      default -> throw new ParseException("unknown kind " + kind);
    };
  }
}
