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
 * Starts stand-ins: {@code standin --kind platform|engine|service|rating --ports P1,P2,...}; one
 * process may hold several engines or services, one a port.
 */
public final class Standin {
  private static final String USAGE =
      "usage: standin --kind platform|engine|service|rating --ports P1,P2,..."
          + " [--slots N] [--decode-millis N]";
  private static final String HOST = "127.0.0.1";
  private static final int WRONG = 2;

  private Standin() {}

  /** Runs the stand-ins until the process is ended. */
  public static void main(String[] arguments) {
    try {
      CommandLine line = new DefaultParser().parse(options(), arguments);
      start(line);
    } catch (ParseException | NumberFormatException e) {
      System.err.println(e.getMessage() + System.lineSeparator() + USAGE);
      System.exit(WRONG);
    }
  }

  private static Options options() {
    return new Options()
        .addRequiredOption("k", "kind", true, "what to stand in for")
        .addRequiredOption("p", "ports", true, "where to listen")
        .addOption("s", "slots", true, "how many requests an engine runs at once")
        .addOption("d", "decode-millis", true, "the time of a token");
  }

  private static void start(CommandLine line) throws ParseException {
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    String kind = line.getOptionValue("kind");
    int slots = Integer.parseInt(line.getOptionValue("slots", "8"));
    int decode = Integer.parseInt(line.getOptionValue("decode-millis", "5"));
    List<Future<HttpServer>> started = new ArrayList<>();
    for (String text : line.getOptionValue("ports").split(",")) {
      int port = Integer.parseInt(text);
      started.add(startOne(vertx, kind, port, new EngineStandin.Speed(slots, decode)));
    }
    Future.all(started)
        .onComplete(
            unused -> System.out.println("listening"),
            failure -> {
              System.err.println(failure.getMessage());
              System.exit(1);
            });
  }

  private static Future<HttpServer> startOne(
      Vertx vertx, String kind, int port, EngineStandin.Speed speed) throws ParseException {
    return switch (kind) {
      case "platform" -> PlatformStandin.start(vertx, HOST, port);
      case "engine" -> EngineStandin.start(vertx, "engine-" + port, HOST, port, speed);
      case "service" -> ServiceStandin.start(vertx, HOST, port);
      case "rating" -> RatingStandin.start(vertx, HOST, port);
      default -> throw new ParseException("unknown kind " + kind);
    };
  }
}
