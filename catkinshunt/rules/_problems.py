"""Problems found in a rules document, collected before any is raised."""

import attrs

from catkinshunt import errors


@attrs.frozen
class Problem:
    """One reason why a rules document cannot be accepted.

    Args:
        rule: name of the rule, or its position such as ``'#2'``; empty for
            the document itself.
        field: path of the field, such as ``'when.request.path'``.
        text: what is wrong and what is allowed.
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
    """Gathers problems so that an author sees all of them at once."""

    def __init__(self):
        self.problems = []

    def add(self, rule, field, text):
        """Note one problem."""
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
