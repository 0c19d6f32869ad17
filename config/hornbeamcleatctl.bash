# Bash completion of hornbeamcleatctl; source it from a shell's start file.
_hornbeamcleatctl() {
  local word=${COMP_WORDS[COMP_CWORD]}
  local previous=${COMP_WORDS[COMP_CWORD - 1]}
  local commands="validate apply get delete watch status explain"
  local kinds="workspace tier target version move"
  local options="--server --token --token-file --tls --ca-file --timeout
    --output --file --resource-version --from --count --wait --help --version"
  case $previous in
    get | delete) COMPREPLY=($(compgen -W "$kinds" -- "$word")) ;;
    --output | -o) COMPREPLY=($(compgen -W "table json" -- "$word")) ;;
    --file | -f | --token-file | --ca-file)
      COMPREPLY=($(compgen -f -- "$word"))
      ;;
    *)
      case $word in
        -*) COMPREPLY=($(compgen -W "$options" -- "$word")) ;;
        *) COMPREPLY=($(compgen -W "$commands" -- "$word")) ;;
      esac
      ;;
  esac
}
complete -F _hornbeamcleatctl hornbeamcleatctl
