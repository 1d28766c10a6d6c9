// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oatlug.errors.OatlugException;
import org.oatlug.errors.UsageException;
import org.oatlug.internal.billing.Bill;
import org.oatlug.internal.ledger.LedgerReader;
import org.oatlug.internal.util.Json;

/** Aggregates the bills in the ledger by workspace and version. Stateless. */
final class BillsCommand implements Command {
  private static final String DEFAULT_SHARDS = "3";

  @Override
  public String name() {
    return "bills";
  }

  @Override
  public String arguments() {
    return "[--shards N]";
  }

  @Override
  public String summary() {
    return "sum up the bills in the ledger by workspace and version";
  }

  @Override
  public String example() {
    return "oatlug bills --platform 127.0.0.1:7000";
  }

  @Override
  public void addOptions(Options options) {
    options.addOption(null, "shards", true, "the number of ledger shards, 3 if not given");
  }

  @Override
  public ExitCode call(CommandLine line, List<String> arguments, CommandSession session)
      throws OatlugException {
    List<Bill> bills = session.await(LedgerReader.of(session.platform()).bills(shardsOf(line)));
    Map<String, long[]> totalsByGroup = new TreeMap<>();
    for (Bill bill : bills) {
      String group = bill.workspace() + "\t" + bill.version();
      long[] totals = totalsByGroup.computeIfAbsent(group, unused -> new long[3]);
      totals[0]++;
      totals[1] += bill.promptTokens() + bill.answerTokens();
      totals[2] += bill.cost();
    }
    TextTable table = TextTable.titled("WORKSPACE", "VERSION", "REQUESTS", "TOKENS", "COST");
    totalsByGroup.forEach(
        (group, totals) -> {
          String[] names = group.split("\t");
          table.add(
              names[0],
              names[1],
              Long.toString(totals[0]),
              Long.toString(totals[1]),
              Long.toString(totals[2]));
        });
    JsonNode value = Json.STRICT.valueToTree(bills);
    session.print(value, table);
    return ExitCode.OK;
  }

  private static int shardsOf(CommandLine line) throws UsageException {
    try {
      return Integer.parseInt(line.getOptionValue("shards", DEFAULT_SHARDS));
    } catch (NumberFormatException e) {
      throw new UsageException("--shards is not a number");
    }
  }
}
