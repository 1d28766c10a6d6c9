// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.oatlug.errors.OatlugException;
import org.oatlug.errors.UsageException;

/** Releases a request that is held because upstreams crashed while they ran it. Stateless. */
final class LetRunCommand implements Command {
  @Override
  public String name() {
    return "let-run";
  }

  @Override
  public String arguments() {
    return "FINGERPRINT --instance HOST:PORT";
  }

  @Override
  public String summary() {
    return "forget, at all instances, that upstreams crashed while they ran a request; see status";
  }

  @Override
  public String example() {
    return "oatlug let-run 5b127a8a300e652caf60af0c23f4129c --instance 127.0.0.1:7101";
  }

  @Override
  public ExitCode call(CommandLine line, List<String> arguments, CommandSession session)
      throws OatlugException {
    if (arguments.isEmpty()) {
      throw new UsageException(arguments());
    }
    JsonNode response = session.putToInstance("/let-run", "request", arguments.get(0));
    boolean forgotten = response.path("forgotten").asBoolean();
    String effect = forgotten ? " runs again" : " is not held";
    session.print("request " + arguments.get(0) + effect);
    return ExitCode.OK;
  }
}
