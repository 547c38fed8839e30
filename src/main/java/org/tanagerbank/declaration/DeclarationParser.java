package org.tanagerbank.declaration;

import com.google.common.base.Utf8;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.declaration.NodeReader.Member;
import org.tanagerbank.declaration.ServiceReader.Section;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.composer.Composer;
import org.yaml.snakeyaml.error.Mark;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.parser.ParserImpl;
import org.yaml.snakeyaml.reader.ReaderException;
import org.yaml.snakeyaml.reader.StreamReader;
import org.yaml.snakeyaml.resolver.Resolver;

/**
 * Parses the operators' YAML text and reports all faults with line and column.
 *
 * <p>The result depends on the text alone, so every process accepts or rejects the same texts. A
 * syntax error of YAML hides what follows it; all other faults are found in one run. Thread-safe.
 */
public final class DeclarationParser {
  /** Limit on a text in UTF-8 bytes: it must fit into one link frame, which holds 1 MiB. */
  public static final int MAX_TEXT_BYTES = 1_000_000;

  private static final String SERVICES = "services";

  private DeclarationParser() {}

  /** Parses a text. */
  public static ParsedDeclaration parse(String text) {
    try {
      if (Utf8.encodedLength(text) > MAX_TEXT_BYTES) {
        return faulty(new Fault(1, 1, "the text exceeds " + MAX_TEXT_BYTES + " bytes"));
      }
      return read(compose(text));
    } catch (MarkedYAMLException e) {
      Mark mark = e.getProblemMark() != null ? e.getProblemMark() : e.getContextMark();
      return faulty(new Fault(mark.getLine() + 1, mark.getColumn() + 1, problem(e)));
    } catch (ReaderException e) {
      return faulty(at(text, e.getPosition(), "character not allowed in YAML"));
    } catch (YAMLException e) {
      return faulty(new Fault(1, 1, e.getMessage()));
    } catch (IllegalArgumentException e) {
      return faulty(new Fault(1, 1, "the text is not valid Unicode"));
    }
  }

  /**
   * Parses a text that must be valid.
   *
   * @throws TanagerException with code {@code INVALID_DECLARATION} and all faults in its message
   */
  public static Declaration parseValid(String text) {
    ParsedDeclaration parsed = parse(text);
    return parsed
        .declaration()
        .orElseThrow(
            () ->
                TanagerException.notRun(
                    ErrorCode.INVALID_DECLARATION,
                    parsed.faults().stream()
                        .map(Fault::toString)
                        .collect(Collectors.joining("; "))));
  }

  private static Node compose(String text) {
    LoaderOptions options = new LoaderOptions();
    options.setCodePointLimit(MAX_TEXT_BYTES);
    return new Composer(new ParserImpl(new StreamReader(text), options), new Resolver(), options)
        .getSingleNode();
  }

  private static ParsedDeclaration read(Node root) {
    if (root == null) {
      return faulty(new Fault(1, 1, "the text is empty; it needs the field " + SERVICES));
    }
    NodeReader reader = new NodeReader();
    Map<String, Member> top = reader.fields(root, "the declaration", ImmutableSet.of(SERVICES));
    Member services = top.get(SERVICES);
    if (services == null && !reader.hasFaults()) {
      reader.fault(root, "the declaration needs the field " + SERVICES);
    }
    List<Section> sections = services == null ? List.of() : sections(reader, services);
    ReferenceCheck.run(reader, sections);
    if (reader.hasFaults()) {
      return new ParsedDeclaration(Optional.empty(), reader.faults());
    }
    ImmutableMap<String, ServiceSpec> specs =
        sections.stream()
            .map(Section::spec)
            .collect(ImmutableMap.toImmutableMap(ServiceSpec::name, s -> s));
    return new ParsedDeclaration(Optional.of(new Declaration(specs)), ImmutableList.of());
  }

  private static List<Section> sections(NodeReader reader, Member services) {
    ServiceReader serviceReader = new ServiceReader(reader);
    return reader.mapping(services.value(), SERVICES, Schema.MAX_SERVICES).values().stream()
        .map(serviceReader::read)
        .toList();
  }

  private static String problem(MarkedYAMLException e) {
    String context = e.getContext() == null ? "" : e.getContext() + ": ";
    return "YAML syntax: " + context + e.getProblem();
  }

  private static Fault at(String text, int position, String message) {
    int end = text.offsetByCodePoints(0, Math.min(position, text.codePointCount(0, text.length())));
    String before = text.substring(0, end);
    int line = (int) before.chars().filter(c -> c == '\n').count();
    return new Fault(line + 1, before.length() - before.lastIndexOf('\n'), message);
  }

  private static ParsedDeclaration faulty(Fault fault) {
    return new ParsedDeclaration(Optional.empty(), ImmutableList.of(fault));
  }
}
