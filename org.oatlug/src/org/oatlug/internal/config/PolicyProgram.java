// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import dev.cel.common.CelAbstractSyntaxTree;
import dev.cel.common.CelIssue;
import dev.cel.common.CelOptions;
import dev.cel.common.CelSourceLocation;
import dev.cel.common.CelValidationException;
import dev.cel.common.types.SimpleType;
import dev.cel.compiler.CelCompiler;
import dev.cel.compiler.CelCompilerFactory;
import dev.cel.parser.CelStandardMacro;
import dev.cel.runtime.CelEvaluationException;
import dev.cel.runtime.CelRuntime;
import dev.cel.runtime.CelRuntimeFactory;
import java.util.Map;
import org.oatlug.errors.PolicyInvalidException;

/**
 * Compiled policy.
 *
 * <p>Invariant: its result type is bool, and its cost is bounded, because programs have a bounded
 * length and a bounded number of comprehension steps. A program that fails at run time denies.
 * Immutable, thread-safe.
 */
public final class PolicyProgram {
  private static final int MAXIMUM_LENGTH = 4096;
  private static final int MAXIMUM_STEPS = 1000;
  private static final CelOptions OPTIONS =
      CelOptions.current().comprehensionMaxIterations(MAXIMUM_STEPS).build();
  private static final CelCompiler COMPILER =
      CelCompilerFactory.standardCelCompilerBuilder()
          .setOptions(OPTIONS)
          .setStandardMacros(CelStandardMacro.STANDARD_MACROS)
          .addVar("workspace", SimpleType.STRING)
          .addVar("model", SimpleType.STRING)
          .addVar("version", SimpleType.STRING)
          .addVar("task", SimpleType.STRING)
          .addVar("priority", SimpleType.INT)
          .setResultType(SimpleType.BOOL)
          .build();
  private static final CelRuntime RUNTIME =
      CelRuntimeFactory.standardCelRuntimeBuilder().setOptions(OPTIONS).build();

  private final CelRuntime.Program program;

  private PolicyProgram(CelRuntime.Program program) {
    this.program = program;
  }

  /**
   * Compiles and type-checks a program.
   *
   * @param name the name of the policy, for messages
   * @param text the CEL expression
   * @throws PolicyInvalidException if it does not compile, with line and column
   */
  public static PolicyProgram compile(String name, String text) throws PolicyInvalidException {
    if (text.length() > MAXIMUM_LENGTH) {
      throw new PolicyInvalidException(name, 1, MAXIMUM_LENGTH, "the program is too long");
    }
    try {
      CelAbstractSyntaxTree tree = COMPILER.compile(text).getAst();
      return new PolicyProgram(RUNTIME.createProgram(tree));
    } catch (CelValidationException e) {
      CelIssue issue = e.getErrors().get(0);
      CelSourceLocation location = issue.getSourceLocation();
      int column = location.getColumn() + 1;
      throw new PolicyInvalidException(name, location.getLine(), column, issue.getMessage());
    } catch (CelEvaluationException e) {
      throw new PolicyInvalidException(name, 1, 1, e.getMessage());
    }
  }

  /** Returns whether the policy allows the version. */
  public boolean allows(Subject subject) {
    try {
      Object result = program.eval(subject.variables());
      return Boolean.TRUE.equals(result);
    } catch (CelEvaluationException e) {
      return false;
    }
  }

  /**
   * Input of the evaluation of a policy.
   *
   * @param workspace the workspace
   * @param model the model
   * @param version the version
   * @param task the caller's task name, may be empty
   * @param priority the workspace's priority
   */
  public record Subject(
      String workspace, String model, String version, String task, long priority) {
    private Map<String, Object> variables() {
      return Map.of(
          "workspace", workspace,
          "model", model,
          "version", version,
          "task", task,
          "priority", priority);
    }
  }
}
