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

/** Sums up the bills in the ledger. Stateless. */
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
  public ExitCode call(CommandLine line, List<String> arguments, Session session)
      throws OatlugException {
    List<Bill> bills = session.await(LedgerReader.of(session.platform()).bills(shardsOf(line)));
    Map<String, long[]> sums = new TreeMap<>();
    for (Bill bill : bills) {
      String subject = bill.workspace() + "\t" + bill.version();
      long[] sum = sums.computeIfAbsent(subject, unused -> new long[3]);
      sum[0]++;
      sum[1] += bill.promptTokens() + bill.answerTokens();
      sum[2] += bill.cost();
    }
    TextTable table = TextTable.titled("WORKSPACE", "VERSION", "REQUESTS", "TOKENS", "COST");
    sums.forEach(
        (subject, sum) -> {
          String[] names = subject.split("\t");
          table.add(
              names[0],
              names[1],
              Long.toString(sum[0]),
              Long.toString(sum[1]),
              Long.toString(sum[2]));
        });
    JsonNode value = Json.STRICT.valueToTree(bills);
    session.print(value, table);
    return ExitCode.OK;
  }

  private static int shardsOf(CommandLine line) throws UsageException {
    try {
      return Integer.parseInt(line.getOptionValue("shards", DEFAULT_SHARDS));
    } catch (NumberFormatException e) {
      throw new UsageException("--shards is no number");
    }
  }
}
