// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.oatlug.config.Kinds;
import org.oatlug.errors.OatlugException;
import org.oatlug.errors.UsageException;
import org.oatlug.internal.util.Json;
import org.oatlug.platform.StoredObject;

/** Shows the published objects of a kind. Stateless. */
final class GetCommand implements Command {

  @Override
  public String name() {
    return "get";
  }

  @Override
  public String arguments() {
    return "KIND [NAME]";
  }

  @Override
  public String summary() {
    return "show published objects of a kind";
  }

  @Override
  public String example() {
    return "oatlug get version --platform 127.0.0.1:7000";
  }

  @Override
  public ExitCode call(CommandLine line, List<String> arguments, CommandSession session)
      throws OatlugException {
    if (arguments.isEmpty() || !Kinds.ALL.contains(arguments.get(0))) {
      throw new UsageException("KIND must be one of " + Kinds.ALL);
    }
    ArrayNode array = Json.STRICT.createArrayNode();
    TextTable table = TextTable.titled("NAME", "VERSION", "CONTENT");
    List<String> kinds = List.of(arguments.get(0));
    for (StoredObject object : session.await(session.platform().list(kinds)).objects()) {
      String name = object.key().name();
      boolean matches = arguments.size() < 2 || arguments.get(1).equals(name);
      if (matches) {
        array.add(Json.STRICT.valueToTree(object));
        String version = object.revision().toString();
        table.add(name, version, Kinds.withoutPublishId(object.value()).toString());
      }
    }
    session.print(array, table);
    return ExitCode.OK;
  }
}
