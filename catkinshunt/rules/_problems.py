"""Problems of a rules document, collected and raised together."""

import attrs

from catkinshunt import errors


@attrs.frozen
class Problem:
    """One reason why a rules document is invalid.

    Args:
        rule: name of the rule, or its position such as ``'#2'``; empty for
            the document.
        field: path of the field, such as ``'when.request.path'``.
        text: description of the problem and the allowed values.
    """

    rule: str
    field: str
    text: str

    def __str__(self):
        location = f'rule {self.rule!r}' if self.rule else 'document'
        if self.field:
            location += f', field {self.field}'
        return f'{location}: {self.text}'


class ProblemCollector:
    """Collects problems to report all of them in one error."""

    def __init__(self):
        self.problems = []

    def add(self, rule, field, text):
        """Add a problem."""
        self.problems.append(Problem(rule, field, text))

    def raise_any(self):
        """Raise one `errors.RuleError` with all problems, if there are any."""
        if not self.problems:
            return
        lines = '\n  '.join(str(problem) for problem in self.problems)
        raise errors.RuleError(
            f'rules cannot be accepted:\n  {lines}',
            step='check-rules',
            problems=self.problems,
        )
