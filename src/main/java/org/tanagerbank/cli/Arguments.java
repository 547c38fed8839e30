package org.tanagerbank.cli;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.NamedOptionDef;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.OptionHandler;

/**
 * Sets the options of a command from environment variables and flags. A flag overrides the
 * environment variable of the same option.
 *
 * <p>The environment variable of {@code --some-name} is {@code TANAGERBANK_SOME_NAME}. All faults
 * are collected, so that one run reports them together. Not thread-safe.
 */
final class Arguments {
  private static final String VARIABLE_PREFIX = "TANAGERBANK_";

  private final CmdLineParser parser;
  private final List<String> faults = new ArrayList<>();

  private Arguments(Command command) {
    this.parser =
        new CmdLineParser(
            command, ParserProperties.defaults().withUsageWidth(100).withOptionSorter(null));
  }

  /**
   * Sets a command's options and returns all faults found; an empty list if the command can run.
   */
  static ImmutableList<String> apply(
      Command command, List<String> flags, Map<String, String> environment) {
    Arguments arguments = new Arguments(command);
    arguments.applyEnvironment(environment);
    arguments.applyFlags(flags);
    if (arguments.faults.isEmpty()) {
      command.validate(arguments.faults);
    }
    return ImmutableList.copyOf(arguments.faults);
  }

  /** Returns the help text that lists the options of a command. */
  static String usage(Command command) {
    StringWriter out = new StringWriter();
    new Arguments(command).parser.printUsage(out, null);
    return out.toString();
  }

  private void applyEnvironment(Map<String, String> environment) {
    for (OptionHandler<?> option : parser.getOptions()) {
      String flag = ((NamedOptionDef) option.option).name();
      String value = environment.get(variableName(flag));
      if (value == null) {
        continue;
      }
      if (!isSwitch(option)) {
        parse(variableName(flag), flag, value);
      } else if (Ascii.equalsIgnoreCase(value, "true")) {
        parse(variableName(flag), flag);
      } else if (!Ascii.equalsIgnoreCase(value, "false")) {
        faults.add(variableName(flag) + ": must be true or false, not \"" + value + "\"");
      }
    }
  }

  private void applyFlags(List<String> flags) {
    for (int i = 0; i < flags.size(); i++) {
      String flag = flags.get(i);
      int separator = flag.indexOf('=');
      String name = flag.startsWith("--") && separator > 0 ? flag.substring(0, separator) : flag;
      Optional<OptionHandler<?>> option = findOption(name);
      if (!name.startsWith("-")) {
        parse(name, name);
      } else if (option.isEmpty()) {
        faults.add(name + ": unknown option");
        i += i + 1 < flags.size() && !flags.get(i + 1).startsWith("-") ? 1 : 0;
      } else if (isSwitch(option.get())) {
        parse(name, name);
      } else if (name.length() < flag.length()) {
        parse(name, name, flag.substring(separator + 1));
      } else if (i + 1 < flags.size()) {
        i++;
        parse(name, name, flags.get(i));
      } else {
        faults.add(name + ": requires a value");
      }
    }
  }

  private void parse(String source, String... tokens) {
    try {
      parser.parseArgument(tokens);
    } catch (CmdLineException e) {
      faults.add(source + ": " + e.getMessage());
    }
  }

  private Optional<OptionHandler<?>> findOption(String name) {
    for (OptionHandler<?> handler : parser.getOptions()) {
      if (((NamedOptionDef) handler.option).name().equals(name)) {
        return Optional.of(handler);
      }
    }
    return Optional.empty();
  }

  private static boolean isSwitch(OptionHandler<?> handler) {
    return handler.setter.getType() == boolean.class || handler.setter.getType() == Boolean.class;
  }

  private static String variableName(String flag) {
    return VARIABLE_PREFIX + Ascii.toUpperCase(flag.replaceFirst("^-+", "").replace('-', '_'));
  }
}
